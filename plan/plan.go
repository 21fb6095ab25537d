package plan

import (
	"crypto/sha256"
	"encoding/hex"
)

// Plan is a complete plan as operators write it. Durations are in microseconds.
type Plan struct {
	// Weights is the name of the model weights that every engine must run.
	Weights string `json:"weights" validate:"required,max=64,name"`
	// Kinds are the kinds of request by name.
	Kinds map[string]Kind `json:"kinds" validate:"required,min=1,max=64,dive,keys,name,endkeys"`
	// Groups are the groups of callers by name.
	Groups map[string]Group `json:"groups" validate:"required,min=1,max=256,dive,keys,name,endkeys"`
	// Routes send plain HTTP calls to application back ends.
	Routes []Route `json:"entries,omitempty" validate:"max=1024,dive"`
	Limits Limits  `json:"limits,omitempty"`
	// Notes are free-form annotations of the operators and have no effect.
	Notes map[string]any `json:"notes,omitempty"`
}

// Kind is a kind of request.
type Kind struct {
	// Once means that a request of this kind runs at most once, whoever sends it again.
	Once bool `json:"once,omitempty"`
	// DueUS is the time from arrival to deadline for requests that specify no deadline.
	DueUS int64 `json:"due_us" validate:"min=100000,max=600000000"`
	// MaxDueUS is the latest deadline that a request may specify; the default is DueUS.
	MaxDueUS int64 `json:"max_due_us,omitempty" validate:"omitempty,min=100000,max=600000000,gtefield=DueUS"`
	// TypicalUS is the expected duration of a run before any has been observed; the
	// dispatcher has a default.
	TypicalUS int64 `json:"typical_us,omitempty" validate:"omitempty,min=1000,max=600000000"`
}

// Group is a group of callers.
type Group struct {
	// Share is the group's part of the capacity, relative to the other groups' shares.
	Share float64 `json:"share" validate:"gt=0,lte=10000"`
	// Isolated means that the group shares no cached prompts with other groups.
	Isolated bool `json:"wall,omitempty"`
	// CeilingPermille limits the group to this many thousandths of a proxy's capacity; 0
	// means no limit.
	CeilingPermille int `json:"ceiling,omitempty" validate:"omitempty,min=1,max=1000"`
	// Keys are the digests of the callers' keys, as KeyDigest returns them.
	Keys []string `json:"keys" validate:"max=64,dive,digest"`
	// Kinds are the kinds of request that the group may send; an empty list means all.
	Kinds []string `json:"kinds,omitempty" validate:"max=64"`
}

// Route forwards the plain HTTP calls below a path to an application back end.
type Route struct {
	Path    string `json:"path" validate:"required,startswith=/,max=256"`
	Backend string `json:"to" validate:"required,hostport"`
	// TimeoutUS is the timeout of one call, including its retry.
	TimeoutUS int64 `json:"due_us" validate:"min=10000,max=600000000"`
}

// Limits apply to the whole fleet; zero means the default.
type Limits struct {
	// RetryPermille is the number of retries that a proxy may send per thousand requests.
	// Default 100.
	RetryPermille int `json:"retry_permille,omitempty" validate:"omitempty,min=1,max=500"`
	// CapacityPerEngine is the maximum number of concurrent runs at one engine. Default
	// 16.
	CapacityPerEngine int `json:"room_per_engine,omitempty" validate:"omitempty,min=1,max=4096"`
	// QueuePerGroup is the maximum number of requests of a group that wait at one proxy.
	// Default 512.
	QueuePerGroup int `json:"queue_per_group,omitempty" validate:"omitempty,min=1,max=100000"`
	// TransferWaitUS is the time that an engine waits for a cached block from another
	// engine before it recomputes the block. Default 150 ms.
	TransferWaitUS int64 `json:"take_wait_us,omitempty" validate:"omitempty,min=1000,max=10000000"`
	// Prefetch selects how many engines of a zone fetch a block that two other zones have
	// already: none, one, half or all. Default none.
	Prefetch string `json:"push,omitempty" validate:"omitempty,oneof=none one half all"`
	// WavePercent is the percentage of the engines that change weights at the same time.
	// Default 50.
	WavePercent int `json:"wave_percent,omitempty" validate:"omitempty,min=1,max=100"`
}

// WithDefaults returns the limits with defaults for those that are zero.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.RetryPermille, 100)
	setDefault(&l.CapacityPerEngine, 16)
	setDefault(&l.QueuePerGroup, 512)
	setDefault(&l.WavePercent, 50)
	setDefault(&l.TransferWaitUS, 150_000)
	setDefault(&l.Prefetch, "none")
	return l
}

func setDefault[T comparable](limit *T, value T) {
	var unset T
	if *limit == unset {
		*limit = value
	}
}

// KeyDigest returns the digest by which a plan identifies a caller's key: "sha256:" and 64
// hexadecimal digits. The keys themselves are never stored.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
