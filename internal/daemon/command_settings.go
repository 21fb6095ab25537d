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

// CommandSettings loads the settings of one command from a file and from flags.
//
// Settings are a struct with defaults set. The tags of its fields are: json, the key in a
// settings file (the flag is the same with '-' for '_'); validate, a rule of
// go-playground/validator or "name" or "ipport"; help, the text of --help; old, the key
// and flag in earlier versions, which still work but log a warning.
type CommandSettings struct {
	settings any
	file     string
	flags    map[string]*string           // value of each flag by key, former keys included
	warn     func(former, current string) // called for each former key or flag in use
}

// DeclareSettings declares --settings and a flag for every setting on a command. settings
// is a pointer to a struct; program is the program's name in logged warnings.
func DeclareSettings(program string, command *flaggy.Subcommand, settings any) *CommandSettings {
	d := &CommandSettings{settings: settings, flags: map[string]*string{}, warn: func(former, current string) {
		NewLogger(program, "-").Info("deprecated_setting", "setting", former, "use", current)
	}}
	command.String(&d.file, "s", "settings", "JSON file with settings; flags override it")
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

func (d *CommandSettings) declare(command *flaggy.Subcommand, key, help string) {
	d.flags[key] = new(string)
	command.String(d.flags[key], "", flagName(key), help)
}

func (d *CommandSettings) each(visit func(reflect.StructField, reflect.Value)) {
	eachSetting(reflect.ValueOf(d.settings).Elem(), visit)
}

// LoadSettings fills settings, a pointer to a struct with defaults set, from the file that
// --settings names and then from flags. For --help and --version it prints and exits. The
// error lists every mistake.
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
// mistake, one a line.
func (d *CommandSettings) Load() error {
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

func (d *CommandSettings) readFile() ([]byte, error) {
	if d.file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(d.file)
	if err != nil {
		return nil, trace.BadParameter("settings file: %v; give --settings an existing file", err)
	}
	return text, nil
}

// decode sets the settings in the text of the file, if there is a file.
func (d *CommandSettings) decode(text []byte) (mistakes []string) {
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

// renameFormerKeys replaces former keys by current ones. Text that has no former keys, or is
// not a JSON object, is returned unchanged.
func (d *CommandSettings) renameFormerKeys(text []byte) (renamed []byte, mistakes []string) {
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

// readFlag sets a field from its flag or its former flag, if one of them is given.
func (d *CommandSettings) readFlag(f reflect.StructField, v reflect.Value) []string {
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

func (d *CommandSettings) validate() (mistakes []string) {
	var violations validator.ValidationErrors
	if err := newValidator().Struct(d.settings); errors.As(err, &violations) {
		for _, e := range violations {
			key := strings.Split(e.Field(), "[")[0]
			mistakes = append(mistakes, fmt.Sprintf("%s: %q breaks the rule %s %s; set it in the file or by --%s", e.Field(), fmt.Sprint(e.Value()), e.Tag(), e.Param(), flagName(key)))
		}
	}
	return mistakes
}

var (
	errNotInteger = errors.New("is not a whole number")
	errNotBoolean = errors.New("is not true or false")
)

func setField(v reflect.Value, text string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errNotInteger
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

// splitList splits a list at its commas and drops empty elements.
func splitList(text string) []string {
	var list []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
