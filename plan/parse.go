package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/samber/lo"
)

// MaxBytes is the largest length of a plan's text.
const MaxBytes = 1 << 20

// Finding is one problem of a plan, with its remedy.
type Finding struct {
	Path   string `json:"path"` // of the field, "" for the plan as a whole
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// String formats the finding as one line, as command-line tools print it.
func (f Finding) String() string {
	if f.Path == "" {
		return "the plan " + f.Text + "; " + f.Remedy
	}
	return f.Path + ": " + f.Text + "; " + f.Remedy
}

// Parse decodes and validates a plan, and returns all findings sorted by path. The plan must
// not be used if there are findings; it is nil if the text can't be decoded.
func Parse(raw []byte) (*Plan, []Finding) {
	if len(raw) > MaxBytes {
		return nil, []Finding{{"", fmt.Sprintf("has %d bytes", len(raw)), fmt.Sprintf("keep it within %d", MaxBytes)}}
	}
	tree, err := decodeTree(raw)
	if err != nil {
		return nil, []Finding{{"", "is not one JSON value: " + err.Error(), "send one JSON object"}}
	}
	var findings []Finding
	checkShape(tree, reflect.TypeFor[Plan](), "", &findings)
	if len(findings) > 0 {
		return nil, sortFindings(findings)
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, []Finding{{"", err.Error(), "send values of the documented types"}}
	}
	findings = append(checkRules(p), checkReferences(&p)...)
	return &p, sortFindings(findings)
}

func sortFindings(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return strings.Compare(a.Path, b.Path) })
	return findings
}

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	digestPattern = regexp.MustCompile(`^sha256:[0-9a-fA-F]{64}$`)

	structValidator = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	register := func(rule string, ok func(string) bool) {
		check := func(field validator.FieldLevel) bool { return ok(field.Field().String()) }
		if err := v.RegisterValidation(rule, check); err != nil {
			panic(err) // a rule name that the library rejects; it does not depend on input
		}
	}
	register("name", namePattern.MatchString)
	register("digest", digestPattern.MatchString)
	register("hostport", isHostPort)
	return v
}

func isHostPort(s string) bool {
	host, portText, err := net.SplitHostPort(s)
	port, portErr := strconv.Atoi(portText)
	return err == nil && portErr == nil && port > 0 && port < 65536 && net.ParseIP(host) != nil
}

// checkRules checks each field by the rules in its struct tag.
func checkRules(p Plan) (findings []Finding) {
	err := structValidator.Struct(p)
	var violations validator.ValidationErrors
	switch {
	case errors.As(err, &violations):
		for _, violation := range violations {
			findings = append(findings, Finding{
				Path:   strings.TrimPrefix(violation.Namespace(), "Plan."),
				Text:   "value " + strconv.Quote(fmt.Sprint(violation.Value())) + " breaks the rule " + ruleOf(violation),
				Remedy: remedyFor(violation.Tag()),
			})
		}
	case err != nil:
		findings = append(findings, Finding{"", err.Error(), "report this"})
	}
	return findings
}

func ruleOf(violation validator.FieldError) string {
	if violation.Param() == "" {
		return violation.Tag()
	}
	return violation.Tag() + "=" + violation.Param()
}

func remedyFor(rule string) string {
	switch rule {
	case "digest":
		return "name keys by digest, as `violetthread-ctl digest` prints it"
	case "hostport":
		return "give an IP number and a port, such as 127.0.0.1:9000"
	case "name":
		return "use letters, digits, dot, dash and underscore, 64 at most"
	case "required":
		return "give it a value"
	default:
		return "bring it within that rule"
	}
}

// checkReferences checks rules that involve more than one field: unique keys and paths, and
// kinds that must exist.
func checkReferences(p *Plan) []Finding {
	return append(checkGroups(p), checkRoutes(p.Routes)...)
}

func checkGroups(p *Plan) (findings []Finding) {
	groupByDigest := map[string]string{}
	names := lo.Keys(p.Groups)
	slices.Sort(names)
	for _, name := range names {
		for i, digest := range p.Groups[name].Keys {
			digest = strings.ToLower(digest)
			if other, taken := groupByDigest[digest]; taken {
				findings = append(findings, Finding{fmt.Sprintf("groups[%s].keys[%d]", name, i), "also a key of group " + other, "give each key to one group"})
			}
			groupByDigest[digest] = name
		}
		for i, kind := range p.Groups[name].Kinds {
			if _, known := p.Kinds[kind]; !known {
				findings = append(findings, Finding{fmt.Sprintf("groups[%s].kinds[%d]", name, i), "no kind is named " + kind, "add the kind or drop it here"})
			}
		}
	}
	return findings
}

func checkRoutes(routes []Route) (findings []Finding) {
	indexByPath := map[string]int{}
	for i, route := range routes {
		at := fmt.Sprintf("entries[%d].path", i)
		if earlier, taken := indexByPath[route.Path]; taken {
			findings = append(findings, Finding{at, fmt.Sprintf("same path as entries[%d]", earlier), "keep one of them"})
		}
		indexByPath[route.Path] = i
		if strings.HasPrefix(route.Path, "/v1/") || route.Path == "/v1" || route.Path == "/" {
			findings = append(findings, Finding{at, "is taken by the proxy itself", "choose a path outside /v1"})
		}
	}
	return findings
}
