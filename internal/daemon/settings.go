package daemon

import (
	"net"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"violetthread/internal/limits"
)

// Version is what --version prints.
const Version = "0.1.0"

// NodeSettings are the settings common to all daemons. They are embedded in the settings
// of each program.
type NodeSettings struct {
	// Name identifies the node and is unique in the fleet. No default.
	Name string `json:"name" validate:"required,name" help:"this node's name, unlike any other's"`
	// Zone is the node's failure domain. No default.
	Zone string `json:"site" validate:"required,name" help:"the site it stands in"`
	// HTTPAddr is the IP:port that serves health, readiness, metrics and the API. No default.
	HTTPAddr string `json:"http" validate:"required,ipport" help:"IP:port for HTTP"`
	// TransportAddr is the IP:port that serves frames of package transport; empty for a
	// program that serves none.
	TransportAddr string `json:"wire" validate:"omitempty,ipport" help:"IP:port for the fleet's own frames"`
	// Seeds are transport addresses of control nodes to contact first; one reachable node
	// is enough.
	Seeds []string `json:"seeds" validate:"max=3,dive,ipport" help:"up to three IP:port of control nodes, with commas"`
	// DataDir is the folder for the node's files. Only control nodes need it.
	DataDir string `json:"data_dir" help:"folder for this node's files"`
	// CPUProfile is a file for a CPU profile of the whole run; empty for none.
	CPUProfile string `json:"cpu_profile" help:"file to write a processor profile to, until the process stops"`
	// MemoryBytes is the memory that the process may use. What its peers can make it hold is bounded by
	// shares of it. 0, the default, is the machine's memory, or what GOMEMLIMIT is 60% of.
	MemoryBytes int64 `json:"memory_bytes" validate:"min=0" help:"memory that the process may use, which bounds what its peers can make it hold; 0 for that of the machine"`
	// Descriptors is the number of files and connections that the process may have open. 0, the
	// default, is its limit of open files.
	Descriptors int `json:"descriptors" validate:"min=0" help:"files and connections that the process may have open; 0 for its limit of open files"`
	// DrainUS bounds how long a graceful stop waits for running work, in microseconds.
	DrainUS int64 `json:"drain_us" validate:"min=0,max=120000000" help:"longest wait for running work on a graceful stop"`
}

// Machine returns what the process may use, according to its settings.
func (s NodeSettings) Machine() limits.Machine {
	return limits.Machine{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors}
}

// RecordingSettings are the settings of a daemon that can record the inputs and outputs of its
// decision logic.
type RecordingSettings struct {
	// Recording is the file to record to; empty for no recording.
	Recording string `json:"recording" old:"tape" help:"file to record events and decisions to, for violetthread-ctl replay"`
	// RecordingBytes is the size of the file at which recording stops. 256 MiB by default.
	RecordingBytes int64 `json:"recording_bytes" old:"tape_bytes" validate:"min=4096,max=17179869184" help:"the recording stops at this size"`
}

// RecordingDefaults are the defaults of RecordingSettings.
var RecordingDefaults = RecordingSettings{RecordingBytes: 256 << 20}

var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// newValidator returns a validator with the library's rules and two more: "name" (of a node or
// zone) and "ipport" (a literal IP address with a port).
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(settingKey)
	_ = v.RegisterValidation("name", func(l validator.FieldLevel) bool { return nameRE.MatchString(l.Field().String()) })
	_ = v.RegisterValidation("ipport", func(l validator.FieldLevel) bool { return isIPPort(l.Field().String()) })
	return v
}

func isIPPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, portErr := strconv.Atoi(port)
	return err == nil && portErr == nil && n >= 0 && n < 65536 && net.ParseIP(host) != nil
}

// settingKey returns a field's key in a settings file.
func settingKey(f reflect.StructField) string { return strings.Split(f.Tag.Get("json"), ",")[0] }

// formerKey returns the key that a field had in earlier versions, or "" if it never changed.
func formerKey(f reflect.StructField) string { return f.Tag.Get("old") }

// flagName returns the flag of a setting's key.
func flagName(key string) string { return strings.ReplaceAll(key, "_", "-") }

// eachSetting calls visit for each setting of a struct and of the structs embedded in it, in
// the order of the fields.
func eachSetting(v reflect.Value, visit func(reflect.StructField, reflect.Value)) {
	for i := 0; i < v.NumField(); i++ {
		if f := v.Type().Field(i); f.Anonymous {
			eachSetting(v.Field(i), visit)
		} else if settingKey(f) != "" {
			visit(f, v.Field(i))
		}
	}
}
