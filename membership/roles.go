package membership

// Roles of nodes, as their heartbeats and GET /v1/fleet have them. The values are part of the
// wire format and keep the names of the first version.
const (
	RoleIndexNode = "custodian" // owns engines and a share of the prefix-cache index
	RoleGateway   = "remisier"  // serves callers, with an agent beside it
	RoleProxy     = "carrier"   // forwards requests to engines that the platform lists
)
