// Package units defines the named types of identifiers and quantities.
package units

import "time"

// ServiceName identifies a service of the configuration.
type ServiceName string

// PlaceName identifies an availability zone.
type PlaceName string

// RegionName identifies a region, a group of availability zones.
type RegionName string

// TenantName identifies a client account.
type TenantName string

// ClassName identifies a class of requests with one priority.
type ClassName string

// EngineName identifies an upstream: a model engine or an instance of a plain service.
type EngineName string

// SoftwareVersion names the version of the software that an engine runs. Versions have no order.
type SoftwareVersion string

// VMName identifies a virtual machine on the platform's list.
type VMName string

// ProcessName identifies one entry process.
type ProcessName string

// RequestID identifies one request of a caller.
type RequestID string

// AttemptID identifies one attempt to run a claimed call.
type AttemptID string

// Revision numbers accepted configurations. It only increases.
type Revision int64

// FencingToken is the fencing token of a lease. It increases with every change of holder.
type FencingToken int64

// Tokens counts prompt or output tokens.
type Tokens int64

// Pieces counts blocks, the allocation unit of an engine's KV cache.
type Pieces int64

// PerSecond is a rate of requests.
type PerSecond float64

// Priority orders classes. The larger number is served first.
type Priority int

// Clock returns the current time. Comparisons and durations use its monotonic reading if it has one.
type Clock func() time.Time
