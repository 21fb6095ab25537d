package membership

// Roles of nodes, as used in heartbeats and GET /v1/fleet. The values are part of the wire
// format and keep the names of the first version.
const (
	RoleIndexNode = "custodian" // manages engines and a share of the prefix-cache index
	RoleGateway   = "remisier"  // serves callers, with an agent on the same host
	RoleProxy     = "carrier"   // forwards requests to engines that the platform lists
)
