package manifest

import (
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
)

// Unit is the syntax and unit of a key's value.
type Unit string

// The units of keys.
const (
	// UnitName is an identifier: lower-case letters, digits and "-".
	UnitName Unit = "name"
	// UnitNames is a comma-separated list of identifiers.
	UnitNames Unit = "names"
	// UnitCount is a whole number.
	UnitCount Unit = "count"
	// UnitWeight is a number from 0 to 1.
	UnitWeight Unit = "weight"
	// UnitDuration is a number with ms, s, m or h, as time.ParseDuration reads it.
	UnitDuration Unit = "duration"
	// UnitMemory is a whole number with MB, GB or TB (powers of ten).
	UnitMemory Unit = "memory"
	// UnitProcessors is a whole number of cores, or of thousandths with "m".
	UnitProcessors Unit = "processors"
	// UnitPriority is urgent, normal or batch.
	UnitPriority Unit = "priority"
	// UnitWindows is a list of daily time spans in UTC, such as 06:00-10:00.
	UnitWindows Unit = "windows"
	// UnitRoutes is a list of methods with path prefixes, such as POST /plans.
	UnitRoutes Unit = "routes"
	// UnitTime is a time in RFC 3339 format.
	UnitTime Unit = "time"
)

// The kinds of sections.
const (
	sectionSite    = "site"
	sectionPolicy  = "policy"
	sectionPool    = "pool"
	sectionService = "service"
	sectionTeam    = "team"
	sectionWave    = "wave"
)

// Key describes one key of the manifest.
type Key struct {
	// Section is the kind of section, without its name.
	Section string
	Name    string
	Unit    Unit
	// Default applies when the key is absent; inifile.Required marks a key without
	// a default.
	Default string
	// Low and High bound the value in the base unit: a count, nanoseconds,
	// bytes or thousandths of a core. Other units ignore them.
	Low, High int64
	Meaning   string
}

// The bounds of values, in the base units of Key.Low: memory is in bytes.
const (
	// MaxRevision is the largest revision that a JSON parser which stores numbers
	// as 64-bit floats reads exactly.
	MaxRevision = 1 << 53
	// MaxVMs bounds the VMs of one pool, and the sum of all pools' minimums.
	MaxVMs = 20_000
	// MaxInstances bounds the instances of one service.
	MaxInstances = 10_000
	// MaxSlots and MaxConnections bound one instance.
	MaxSlots       = 1_024
	MaxConnections = 65_536
	// MaxQueue bounds the queued requests of one service.
	MaxQueue = 100_000
	// MaxTeamJobs and MaxTeamRequests bound a team's quotas.
	MaxTeamJobs     = 50_000
	MaxTeamRequests = 100_000
	// MaxMilliCPU, MaxMemory and MaxAccelerators bound one shape or size.
	MaxMilliCPU     = 1_024_000
	MaxMemory       = 64 * int64(1e12)
	MaxAccelerators = 64
	// MaxQuotaMilliCPU, MaxQuotaMemory and MaxQuotaAccelerators bound a quota.
	MaxQuotaMilliCPU     = MaxVMs * int64(MaxMilliCPU)
	MaxQuotaMemory       = 1_000_000 * int64(1e12)
	MaxQuotaAccelerators = MaxVMs * MaxAccelerators
	// MinMemory is the smallest memory size, in bytes; memory is counted in MB.
	MinMemory = int64(1e6)
	// MaxSections bounds the sections of one kind.
	MaxSections = 1_000
	// MinTimeout and MaxTimeout bound the timeout of a request.
	MinTimeout = 10 * time.Millisecond
	MaxTimeout = time.Hour
	// MaxSoak bounds how long a VM must be healthy after a reboot before it counts
	// as available.
	MaxSoak = 24 * time.Hour
)

// keys is the table of all keys, in the order of the sections in a file.
var keys = []Key{
	{sectionSite, "name", UnitName, inifile.Required, 0, 0, "the site; must equal [node] site in every VM's settings"},
	{sectionSite, "revision", UnitCount, inifile.Required, 1, MaxRevision, "number of the pipeline's run; it only grows"},

	{sectionPolicy, "move_weight", UnitWeight, "0.5", 0, 0, "cost of relocating a VM or job against other measures"},
	{sectionPolicy, "buffer_weight", UnitWeight, "0.5", 0, 0, "cost of a VM held back as a spare against other measures"},

	{sectionPool, "min_vms", UnitCount, inifile.Required, 0, MaxVMs, "least VMs of the pool"},
	{sectionPool, "max_vms", UnitCount, inifile.Required, 1, MaxVMs, "most VMs of the pool; at least min_vms"},
	{sectionPool, "processors", UnitProcessors, inifile.Required, 1, MaxMilliCPU, "least that a VM of the pool offers"},
	{sectionPool, "memory", UnitMemory, inifile.Required, MinMemory, MaxMemory, "least that a VM of the pool offers"},
	{sectionPool, "accelerators", UnitCount, "0", 0, MaxAccelerators, "least that a VM of the pool offers"},
	{sectionPool, "availability_zones", UnitNames, "", 0, 0, "where the pool's VMs may be; absent allows all"},
	{sectionPool, "busy", UnitWindows, "", 0, 0, "daily hours in which waves should leave the pool alone; a span may wrap midnight"},

	{sectionService, "pool", UnitName, inifile.Required, 0, 0, "the pool on whose VMs the instances run"},
	{sectionService, "instances", UnitCount, inifile.Required, 1, MaxInstances, "how many run when nothing fails"},
	{sectionService, "processors", UnitProcessors, inifile.Required, 1, MaxMilliCPU, "what one instance needs"},
	{sectionService, "memory", UnitMemory, inifile.Required, MinMemory, MaxMemory, "what one instance needs"},
	{sectionService, "accelerators", UnitCount, "0", 0, MaxAccelerators, "what one instance needs"},
	{sectionService, "slots", UnitCount, "8", 1, MaxSlots, "requests in progress at one instance, over all entry VMs"},
	{sectionService, "connections", UnitCount, "64", 1, MaxConnections, "connections to one instance, over all entry VMs"},
	{sectionService, "min_available", UnitCount, "", 0, MaxInstances, "availability budget: so many instances stay available; this or max_unavailable"},
	{sectionService, "max_unavailable", UnitCount, "", 0, MaxInstances, "availability budget: so many instances may be missing; this or min_available"},
	{sectionService, "timeout", UnitDuration, "30s", int64(MinTimeout), int64(MaxTimeout), "time of a request for which the caller names none"},
	{sectionService, "queue_limit", UnitCount, "1000", 1, MaxQueue, "requests that wait for a slot, over all priorities"},
	{sectionService, "priority", UnitPriority, "normal", 0, 0, "priority of requests which name none"},
	{sectionService, "idempotent_routes", UnitRoutes, "", 0, 0, "requests that may run twice"},
	{sectionService, "non_idempotent_routes", UnitRoutes, "", 0, 0, "requests that run at most once"},

	{sectionTeam, "processors", UnitProcessors, "", 1, MaxQuotaMilliCPU, "quota of the team's running jobs; absent is unlimited"},
	{sectionTeam, "memory", UnitMemory, "", MinMemory, MaxQuotaMemory, "quota of the team's running jobs; absent is unlimited"},
	{sectionTeam, "accelerators", UnitCount, "", 1, MaxQuotaAccelerators, "quota of the team's running jobs; absent is unlimited"},
	{sectionTeam, "max_jobs", UnitCount, "", 1, MaxTeamJobs, "jobs queued or running; absent is unlimited"},
	{sectionTeam, "max_requests", UnitCount, "", 1, MaxTeamRequests, "requests in progress at one entry VM; absent is unlimited"},

	{sectionWave, "pools", UnitNames, inifile.Required, 0, 0, "the pools whose VMs are maintained once"},
	{sectionWave, "start", UnitTime, inifile.Required, 0, 0, "when the first VM may be drained; a VM maintained since then is done, so a later start is a new wave"},
	{sectionWave, "max_parallel", UnitCount, "", 1, MaxVMs, "VMs under maintenance at one time; absent leaves it to the budgets"},
	{sectionWave, "soak", UnitDuration, "5m", int64(time.Second), int64(MaxSoak), "time a VM stays healthy after its reboot before it counts as available"},
}

// Keys returns the table of all keys.
func Keys() []Key { return append([]Key(nil), keys...) }

// Required reports whether the key must be present.
func (k Key) Required() bool { return k.Default == inifile.Required }

// Bounds describes the allowed values as text.
func (k Key) Bounds() string {
	switch k.Unit {
	case UnitName, UnitNames:
		return "lower-case letters, digits and \"-\", at most 63"
	case UnitWeight:
		return "0 to 1"
	case UnitCount:
		return fmt.Sprintf("%d to %d", k.Low, k.High)
	case UnitDuration:
		return fmt.Sprintf("%s to %s", time.Duration(k.Low), time.Duration(k.High))
	case UnitMemory:
		return fmt.Sprintf("%s to %s, whole MB", inifile.FormatSize(k.Low), inifile.FormatSize(k.High))
	case UnitProcessors:
		return fmt.Sprintf("%s to %s", formatProcessors(k.Low), formatProcessors(k.High))
	case UnitPriority:
		return "urgent, normal, batch"
	case UnitWindows:
		return "HH:MM-HH:MM in UTC, comma-separated"
	case UnitRoutes:
		return "METHOD /prefix or * /prefix, comma-separated"
	default:
		return "RFC 3339, such as 2025-03-01T22:00:00Z"
	}
}

// lookupKey returns the key of a section. It panics for an unknown one, since
// section and name are constants of this package.
func lookupKey(section, name string) Key {
	for _, k := range keys {
		if k.Section == section && k.Name == name {
			return k
		}
	}
	panic("manifest: no key " + section + "." + name)
}
