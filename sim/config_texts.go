package sim

import (
	"fmt"
	"strings"
)

// mergedRoutes is the number of routes that merges replace in turn.
const mergedRoutes = 6

func routeText(name, prefix string) string {
	return fmt.Sprintf(`{"name":%q,"host":"calls.example","path-prefix":%q,"route-type":"idempotent","timeout-ms":2000,"target-latency-ms":600,"priority":1,"max-attempts":2,"traffic-split":[{"service":"engines","weight":3},{"service":"others","weight":1}]}`, name, prefix)
}

// keyPrefix is the beginning of the key that each request adds.
const keyPrefix = "key-of-order-"

func tenantText(request *ConfigRequest) string {
	return fmt.Sprintf(`{"name":"desk","api-keys":["%s%d"]}`, keyPrefix, request.id)
}

func wholeText(request *ConfigRequest, routes int) string {
	var rs []string
	for i := range routes {
		rs = append(rs, routeText(fmt.Sprint("route", i), fmt.Sprintf("/order%d/%d/", request.id, i)))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"engines","max-connections":8},{"name":"others"}],"tenants":[%s],"limits":{"idle-timeout-ms":5000}}`,
		request.version, strings.Join(rs, ","), tenantText(request))
}

func mergeText(request *ConfigRequest) string {
	name := fmt.Sprint("merged", request.id%mergedRoutes)
	return fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s],"tenants":[%s]}}`,
		request.version, routeText(name, fmt.Sprintf("/merged%d/", request.id)), tenantText(request))
}
