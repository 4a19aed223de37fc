package model

import "strings"

// Identifiers are region-qualified ("region/name") where two regions could
// otherwise hold the same name; Qualify builds that form.
type (
	// RegionID names a region, the cell that has its own control log.
	RegionID string
	// ZoneID names an availability zone within the site.
	ZoneID string
	// RackID names a rack; it is unique within its availability zone.
	RackID string
	// NodeID names one process of comfreyloom, as in the settings' [node] name.
	NodeID string
	// VMID names a VM as the platform lists it.
	VMID string
	// WorkerID names the worker process on a VM that runs tasks, as the platform
	// lists it.
	WorkerID string
	// PoolID names a pool of VMs.
	PoolID string
	// ServiceID names a service whose instances run on one pool.
	ServiceID string
	// InstanceID names one instance of a service, as it announces itself.
	InstanceID string
	// TeamID names a team that has quotas.
	TeamID string
	// WaveID names a maintenance wave.
	WaveID string
	// JobID names a job: finite work that a caller submitted.
	JobID string
	// TaskID names one placement of a job or instance: a new attempt is a new task.
	TaskID string
	// CommandID names a command; a command that is sent twice takes effect once.
	CommandID string
	// RequestKey is the Idempotency-Key under which a caller may repeat a request.
	RequestKey string
)

// Qualify joins a region and a name to a region-qualified identifier.
func Qualify(region RegionID, name string) string {
	return string(region) + "/" + name
}

// SplitQualified is the inverse of Qualify. The region is empty when id has none.
func SplitQualified(id string) (RegionID, string) {
	region, name, found := strings.Cut(id, "/")
	if !found {
		return "", id
	}
	return RegionID(region), name
}
