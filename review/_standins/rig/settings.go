package rig

// PlanningSettings returns the settings of a small deployment like addis-planning: one data centre, two profiles that may run again,
// three tenants, at most six sends and no cancelling at the engines.
func PlanningSettings() Object {
	return Object{
		"Balancers": 1, "Me": 0, "MyZone": 0, "Tick": 5, "Discovery": "push", "OverShareWorth": 0.05,
		"Dcs": []string{"bole-dc"}, "Kinds": []string{"std-8", "std-16"},
		"Classes": []Object{
			{"Name": "lookup", "Aim": 800, "AimStretch": 2, "Deadline": 4000, "Effect": "safe", "Worth": 1},
			{"Name": "report", "Aim": 2000, "AimStretch": 2.5, "Deadline": 15000, "Effect": "safe", "Worth": 10},
		},
		"FamilyInfo": Object{"CpuOfKind": []float64{8, 16}, "Dop": []int{1, 2}, "RanksHeeded": true, "Progress": 2000},
		"Realms":     []Object{{"Name": "awash-freight", "QuotaPerS": 47}, {"Name": "dire-cargo", "QuotaPerS": 39}, {"Name": "tana-haulage", "QuotaPerS": 26}},
		"Limits": Object{"Cancel": false, "ConnIdle": 30000, "ConnectTimeout": 250, "MaxRetryAfter": 500, "MaxStreams": 100, "OpenCap": 40000,
			"RetryAfter": true, "SendCap": 6},
		"Obligations": Object{"ColdFrom": 0.35, "DrainGrace": 250, "Fall": 1000, "FallMultiple": 2, "WarmUp": 15000},
	}
}

// Lookup returns the fields of a call of the profile lookup with an estimate of its work in milliseconds.
func Lookup(effort string) []string {
	return []string{"service", "lookup", "project", "awash-freight", "effort", effort, "memory", "20"}
}

// Report returns the fields of a call of the profile report with an estimate of its work in milliseconds.
func Report(effort string) []string {
	return []string{"service", "report", "project", "dire-cargo", "effort", effort, "memory", "200"}
}
