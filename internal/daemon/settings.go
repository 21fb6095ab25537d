// Package base is what every program shares: settings, log, HTTP and stopping.
package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"
)

// Version is what --version prints.
const Version = "0.1.0"

// Node is what every daemon must be told.
type NodeSettings struct {
	Name          string   `json:"name" validate:"required,name" help:"this node's name, unlike any other's"`
	Zone          string   `json:"site" validate:"required,name" help:"the site it stands in"`
	HTTPAddr      string   `json:"http" validate:"required,ipport" help:"IP:port for HTTP"`
	TransportAddr string   `json:"wire" validate:"omitempty,ipport" help:"IP:port for the fleet's own wires"`
	Seeds         []string `json:"seeds" validate:"max=3,dive,ipport" help:"up to three IP:port of registrars, with commas"`
	DataDir       string   `json:"data_dir" help:"folder for this node's files"`
	CPUProfile    string   `json:"cpu_profile" help:"file to write a processor profile to, until the process stops"`
	DrainUS       int64    `json:"drain_us" validate:"min=0,max=120000000" help:"longest wait for running work on a polite stop"`
}

// Taped is what a daemon that can record a tape must be told.
type RecordingSettings struct {
	Recording      string `json:"tape" help:"file to record events and decisions on, for dealer replay"`
	RecordingBytes int64  `json:"tape_bytes" validate:"min=4096,max=17179869184" help:"the tape stops at this size"`
}

// TapeDefaults are the defaults of Taped.
var RecordingDefaults = RecordingSettings{RecordingBytes: 256 << 20}

var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func checker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return jsonName(f) })
	_ = v.RegisterValidation("name", func(l validator.FieldLevel) bool { return nameRE.MatchString(l.Field().String()) })
	_ = v.RegisterValidation("ipport", func(l validator.FieldLevel) bool {
		h, p, err := net.SplitHostPort(l.Field().String())
		n, perr := strconv.Atoi(p)
		return err == nil && perr == nil && n >= 0 && n < 65536 && net.ParseIP(h) != nil
	})
	return v
}

func jsonName(f reflect.StructField) string { return strings.Split(f.Tag.Get("json"), ",")[0] }

// fields lists the settings of s, embedded ones first.
func fields(v reflect.Value, f func(reflect.StructField, reflect.Value)) {
	for i := 0; i < v.NumField(); i++ {
		if t := v.Type().Field(i); t.Anonymous {
			fields(v.Field(i), f)
		} else if jsonName(t) != "" {
			f(t, v.Field(i))
		}
	}
}

// Load fills s, a pointer to a struct with defaults set, from --settings and
// then from flags. It prints help or the version and leaves when asked to; every
// mistake is listed in the error.
func LoadSettings(program, about string, s any, args []string) error {
	p := flaggy.NewParser(program)
	p.Description, p.Version = about, Version
	p.ShowCompletion = false
	DeclareFlags(&p.Subcommand, s)
	if err := p.ParseArgs(args); err != nil {
		return trace.BadParameter("flags: %v; see --help", err)
	}
	return FillSettings(s, given[s])
}

// FlagSet holds what Flags declared for one settings struct, and what the command line gave.
type FlagSet struct {
	file  string
	texts map[string]*string
}

var given = map[any]*FlagSet{}

// Flags declares a flag for every setting of s on a command.
func DeclareFlags(c *flaggy.Subcommand, s any) {
	g := &FlagSet{texts: map[string]*string{}}
	given[s] = g
	c.String(&g.file, "s", "settings", "JSON file with settings; flags go before it")
	fields(reflect.ValueOf(s).Elem(), func(t reflect.StructField, v reflect.Value) {
		n := jsonName(t)
		x := new(string)
		g.texts[n] = x
		h := t.Tag.Get("help")
		if d := show(v); d != "" {
			h += " (default " + d + ")"
		}
		c.String(x, "", strings.ReplaceAll(n, "_", "-"), h)
	})
}

// Given returns what Flags declared for s, for Fill.
func DeclaredFlags(s any) *FlagSet { return given[s] }

func show(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// Fill reads the file, then the flags, and checks the whole.
func FillSettings(s any, g *FlagSet) error {
	var wrong []string
	if g.file != "" {
		b, err := os.ReadFile(g.file)
		if err != nil {
			return trace.BadParameter("settings file: %v; give --settings an existing file", err)
		}
		d := json.NewDecoder(bytes.NewReader(b))
		d.DisallowUnknownFields()
		if err := d.Decode(s); err != nil {
			wrong = append(wrong, fmt.Sprintf("%s: %v; compare with examples/settings", g.file, err))
		}
	}
	fields(reflect.ValueOf(s).Elem(), func(t reflect.StructField, v reflect.Value) {
		x := *g.texts[jsonName(t)]
		if x == "" {
			return
		}
		if err := set(v, x); err != nil {
			wrong = append(wrong, fmt.Sprintf("--%s: %v", strings.ReplaceAll(jsonName(t), "_", "-"), err))
		}
	})
	var ve validator.ValidationErrors
	if err := checker().Struct(s); errors.As(err, &ve) {
		for _, e := range ve {
			wrong = append(wrong, fmt.Sprintf("%s: %q breaks the rule %s %s; set it in the file or by --%s", e.Field(), fmt.Sprint(e.Value()), e.Tag(), e.Param(), strings.ReplaceAll(strings.Split(e.Field(), "[")[0], "_", "-")))
		}
	}
	if len(wrong) > 0 {
		return trace.BadParameter("%s", strings.Join(wrong, "\n"))
	}
	return nil
}

func set(v reflect.Value, x string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(x)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(x, 10, 64)
		if err != nil {
			return errors.New("is not a whole number")
		}
		v.SetInt(n)
	case reflect.Bool:
		b, err := strconv.ParseBool(x)
		if err != nil {
			return errors.New("is not true or false")
		}
		v.SetBool(b)
	case reflect.Slice:
		var l []string
		for _, y := range strings.Split(x, ",") {
			if y = strings.TrimSpace(y); y != "" {
				l = append(l, y)
			}
		}
		v.Set(reflect.ValueOf(l))
	}
	return nil
}
