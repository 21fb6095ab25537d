package callers

// Settings of a load. Shares are in thousandths.
type Settings struct {
	// Scenario is the deployment whose callers are simulated.
	Scenario string `json:"scenario" validate:"oneof=selat subtitulos" help:"selat or subtitulos"`
	// Proxies are the gateways that requests are spread over.
	Proxies []string `json:"proxies" validate:"required,min=1,dive,ipport" help:"IP:port of the gateways, with commas"`
	// Engines are asked at the end for the runs that they observed.
	Engines []string `json:"engines" validate:"required,min=1,dive,ipport" help:"IP:port of the engines, to ask what ran"`
	// Seconds is how long new requests are sent; Run then waits for the last response.
	Seconds int64 `json:"seconds" validate:"min=1,max=3600" help:"how long new tickets are sent"`
	// Rate is the mean number of new requests per second; they arrive as a Poisson process.
	Rate int64 `json:"rate" validate:"min=1,max=5000" help:"new tickets a second, all groups together"`
	// Seed of the random arrivals, prompts and choices.
	Seed int64 `json:"seed" help:"seed of arrivals and prompts"`
	// ResendPermille is the share of once-only requests that are sent to a second proxy too.
	ResendPermille int64 `json:"resend_permille" validate:"min=0,max=1000" help:"once-only tickets sent again elsewhere, in thousandths"`
	// HangUpPermille is the share of callers that disconnect after the first piece.
	HangUpPermille int64 `json:"hangup_permille" validate:"min=0,max=1000" help:"callers who hang up early, in thousandths"`
	// Skew sends all requests of the scenario's first group to the first proxy.
	Skew bool `json:"skew" help:"send the largest group's tickets to one proxy only"`
	// Report is the file that the report is written to; empty writes none.
	Report string `json:"report" help:"file for the report as JSON"`
	// MinDonePermille is the minimum share of requests that must be done; less is reported as
	// a violation. 0 means no minimum.
	MinDonePermille int64 `json:"done_min_permille" validate:"min=0,max=1000" help:"least part of tickets that must be done, else the exit code is 1"`
	// Faults tolerates engines that do not respond; their runs are not counted then, and a
	// request that is done without an observed run is no violation.
	Faults bool `json:"faults" help:"faults are being caused meanwhile: runs of killed engines are not counted"`
}

// Defaults returns the settings of a short, light load.
func Defaults() Settings {
	return Settings{Scenario: "selat", Seconds: 10, Rate: 40, Seed: 1, ResendPermille: 50}
}
