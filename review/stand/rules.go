//go:build review

package main

import "time"

// gatherRoute returns a route that gathers services.
func gatherRoute(name string, services []string, top int, minShare float64, target, timeout time.Duration) map[string]any {
	return map[string]any{
		"Name": name, "Host": hostName, "Prefix": "/" + name + "/", "Kind": "idempotent", "Gather": services, "TopK": top, "MinShare": minShare,
		"TimeoutMs": timeout.Milliseconds(), "TargetLatencyMs": target.Milliseconds(), "MaxAttempts": 2, "Priority": 1,
	}
}

// singleRoute returns a route to one service.
func singleRoute(name, service, kind string, target, timeout time.Duration) map[string]any {
	return map[string]any{
		"Name": name, "Host": hostName, "Prefix": "/" + name + "/", "Kind": kind, "Service": service,
		"TimeoutMs": timeout.Milliseconds(), "TargetLatencyMs": target.Milliseconds(), "MaxAttempts": 2, "Priority": 2,
	}
}

// configuration returns the operators' configuration.
func configuration(version int, routes []map[string]any, services []string, connections int) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"Name": s, "HealthPath": "/health", "MaxConns": connections, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "ColdPerS": 0.0})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
