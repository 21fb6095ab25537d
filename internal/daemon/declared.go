package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"
)

// Declared is the settings of one command, declared as flags and ready to be loaded.
//
// Settings are a struct with defaults set. The tags of its fields are: json, the key in a
// settings file (its flag is the same with '-' for '_'); validate, a rule of
// go-playground/validator or "name" or "ipport"; help, the text of --help; old, the key
// and flag of earlier versions, which still work and give a warning.
type Declared struct {
	settings any
	file     string
	flags    map[string]*string // text of each flag by key, former keys included
	warn     func(former, current string)
}

// DeclareSettings declares --settings and a flag for every setting on a command. settings
// is a pointer to a struct; program stands in the log lines of warnings.
func DeclareSettings(program string, command *flaggy.Subcommand, settings any) *Declared {
	d := &Declared{settings: settings, flags: map[string]*string{}, warn: func(former, current string) {
		NewLogger(program, "-").Info("deprecated_setting", "setting", former, "use", current)
	}}
	command.String(&d.file, "s", "settings", "JSON file with settings; flags go before it")
	d.each(func(f reflect.StructField, v reflect.Value) {
		help := f.Tag.Get("help")
		if !v.IsZero() {
			help += fmt.Sprintf(" (default %v)", v.Interface())
		}
		d.declare(command, settingKey(f), help)
	})
	d.each(func(f reflect.StructField, _ reflect.Value) {
		if former := formerKey(f); former != "" {
			d.declare(command, former, "deprecated, use --"+flagName(settingKey(f)))
		}
	})
	return d
}

func (d *Declared) declare(command *flaggy.Subcommand, key, help string) {
	d.flags[key] = new(string)
	command.String(d.flags[key], "", flagName(key), help)
}

func (d *Declared) each(visit func(reflect.StructField, reflect.Value)) {
	eachSetting(reflect.ValueOf(d.settings).Elem(), visit)
}

// LoadSettings fills settings, a pointer to a struct with defaults set, from the file that
// --settings names and then from flags. It prints help or the version and ends the process
// when asked to; the error lists every mistake.
func LoadSettings(program, about string, settings any, args []string) error {
	p := flaggy.NewParser(program)
	p.Description, p.Version = about, Version
	p.ShowCompletion = false
	d := DeclareSettings(program, &p.Subcommand, settings)
	if err := p.ParseArgs(args); err != nil {
		return trace.BadParameter("flags: %v; see --help", err)
	}
	return d.Load()
}

// Load reads the file, then the flags, and validates the settings. The error lists every
// mistake, a line each.
func (d *Declared) Load() error {
	text, err := d.readFile()
	if err != nil {
		return err
	}
	mistakes := d.decode(text)
	d.each(func(f reflect.StructField, v reflect.Value) {
		mistakes = append(mistakes, d.readFlag(f, v)...)
	})
	mistakes = append(mistakes, d.validate()...)
	if len(mistakes) > 0 {
		return trace.BadParameter("%s", strings.Join(mistakes, "\n"))
	}
	return nil
}

func (d *Declared) readFile() ([]byte, error) {
	if d.file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(d.file)
	if err != nil {
		return nil, trace.BadParameter("settings file: %v; give --settings an existing file", err)
	}
	return text, nil
}

// decode sets what the text of the file says; without a file nothing.
func (d *Declared) decode(text []byte) (mistakes []string) {
	if d.file == "" {
		return nil
	}
	text, mistakes = d.renameFormerKeys(text)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(d.settings); err != nil {
		mistakes = append(mistakes, fmt.Sprintf("%s: %v; compare with examples/settings", d.file, err))
	}
	return mistakes
}

// renameFormerKeys puts current keys for former ones. Text without former keys, or that is
// no JSON object, stays as it is.
func (d *Declared) renameFormerKeys(text []byte) (renamed []byte, mistakes []string) {
	given := map[string]json.RawMessage{}
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&given); err != nil {
		return text, nil
	}
	found := false
	d.each(func(f reflect.StructField, _ reflect.Value) {
		former, current := formerKey(f), settingKey(f)
		value, ok := given[former]
		if former == "" || !ok {
			return
		}
		found = true
		delete(given, former)
		if _, both := given[current]; both {
			mistakes = append(mistakes, fmt.Sprintf("%s: %s and its former name %s are both set; remove %s", d.file, current, former, former))
			return
		}
		given[current] = value
		d.warn(former, current)
	})
	if !found {
		return text, nil
	}
	renamed, err := json.Marshal(given)
	if err != nil {
		return text, append(mistakes, err.Error())
	}
	return renamed, mistakes
}

// readFlag sets a field from its flag or its former flag, if one was given.
func (d *Declared) readFlag(f reflect.StructField, v reflect.Value) []string {
	key, former := settingKey(f), formerKey(f)
	text := *d.flags[key]
	if former != "" && *d.flags[former] != "" {
		if text != "" {
			return []string{fmt.Sprintf("--%s and its former name --%s are both given; remove --%s", flagName(key), flagName(former), flagName(former))}
		}
		text = *d.flags[former]
		d.warn("--"+flagName(former), "--"+flagName(key))
	}
	if text == "" {
		return nil
	}
	if err := setField(v, text); err != nil {
		return []string{fmt.Sprintf("--%s: %v", flagName(key), err)}
	}
	return nil
}

func (d *Declared) validate() (mistakes []string) {
	var broken validator.ValidationErrors
	if err := newValidator().Struct(d.settings); errors.As(err, &broken) {
		for _, e := range broken {
			key := strings.Split(e.Field(), "[")[0]
			mistakes = append(mistakes, fmt.Sprintf("%s: %q breaks the rule %s %s; set it in the file or by --%s", e.Field(), fmt.Sprint(e.Value()), e.Tag(), e.Param(), flagName(key)))
		}
	}
	return mistakes
}

var (
	errNotWhole   = errors.New("is not a whole number")
	errNotBoolean = errors.New("is not true or false")
)

func setField(v reflect.Value, text string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errNotWhole
		}
		v.SetInt(n)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errNotBoolean
		}
		v.SetBool(b)
	case reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	}
	return nil
}

// splitList splits a list at its commas and leaves out what is empty.
func splitList(text string) []string {
	var list []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
