package codec

// Roles of nodes, as fb.NodeT.Role carries them between processes and GET /v1/fleet shows
// them. The values are part of the protocol and keep the names of the first version.
const (
	RoleIndexNode = "custodian"
	RoleGateway   = "remisier"
)
