// Package units holds the named types for identifiers and quantities.
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

// VMName identifies a virtual machine on the platform's list.
type VMName string

// ProcessName identifies one entry process.
type ProcessName string

// RequestID identifies one request of a caller.
type RequestID string

// AttemptID identifies one attempt to run a claimed call.
type AttemptID string

// Revision counts accepted configurations and only grows.
type Revision int64

// Fence is the fencing number of a lease. It grows with every change of holder.
type Fence int64

// Version is the version of an object in the platform's store. Zero means absent.
type Version int64

// Tokens counts prompt or output tokens.
type Tokens int64

// Pieces counts the units in which an engine's KV memory is allocated.
type Pieces int64

// Priority orders classes. A larger number is served first.
type Priority int

// Clock returns the current time. Time comparisons use its monotonic reading.
type Clock func() time.Time
