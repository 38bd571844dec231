// Package config reads the settings of a process from a base file and overlays, with
// defaults for what the files leave out. All problems are reported at once.
package config

import (
	"time"

	"buckthornpin"
)

// Duration is a duration that is written as text in files, for example "1.5s".
type Duration = buckthornpin.Duration

// Settings holds all settings of a process.
type Settings struct {
	// VM is the name of the virtual machine. It is unique within the system.
	VM string `json:"vm"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Zones lists the availability zones of the site.
	Zones []string `json:"zones"`
	// Roles lists the roles of the process: "router", "control" or both.
	Roles []string `json:"roles"`

	Caller   CallerSettings   `json:"caller"`
	Endpoint EndpointSettings `json:"endpt"`
	Peer     PeerSettings     `json:"peer"`
	Control  ControlSettings  `json:"ctrl"`
	Operator OperatorSettings `json:"oper"`
	Balancer BalancerSettings `json:"platf"`
	Route    RouteSettings    `json:"route"`
	Budget   BudgetSettings   `json:"budget"`
	TLS      TLSSettings      `json:"tls"`
	Log      LogSettings      `json:"log"`

	Platform PlatformSettings `json:"platform"`

	// Dial lists addresses that this VM reaches by connecting to another address.
	Dial []DialSettings `json:"dial"`
}

// DialSettings redirects connections from one address to another.
type DialSettings struct {
	// Address is the IP:PORT as it stands in other settings.
	Address string `json:"address"`
	// Through is the IP:PORT to connect to instead.
	Through string `json:"through"`
}

// CallerSettings holds the settings of the interface for callers.
type CallerSettings struct {
	// Address is the IP:PORT that routers serve callers on.
	Address string `json:"address"`
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes limits the size of a request's headers.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxConnections limits the number of open connections; 0 means no limit.
	MaxConnections int `json:"max_connections"`
	// DefaultDeadline is the deadline of a request that doesn't set one.
	DefaultDeadline Duration `json:"default_deadline"`
	// KeepAlive is the interval between keep-alive comments on a stream without events.
	KeepAlive Duration `json:"keep_alive"`
	// WriteTimeout limits how long a caller may take to accept a part of its answer.
	WriteTimeout Duration `json:"write_timeout"`
	// ReconnectGrace is how long an answer continues without a reader if the caller sent an idempotency key of its own.
	ReconnectGrace Duration `json:"reconnect_grace"`
	// KeptBytes limits the total size of the complete answers that a router keeps for callers that reconnect.
	KeptBytes int `json:"kept_bytes"`
}

// EndpointSettings holds the settings of the interface for endpoints.
type EndpointSettings struct {
	// Address is the IP:PORT that routers receive announcements on.
	Address string `json:"address"`
	// SecretFile is the file with the secret shared with endpoints; if empty, no secret is required.
	SecretFile string `json:"secret_file"`
	// DeadAfter is the age of an endpoint's last announcement beyond which it gets no work.
	DeadAfter Duration `json:"dead_after"`
	// Silence is how long an answer may go without a byte before it is considered broken.
	Silence Duration `json:"silence"`
	// MaxAnswerBytes limits the size of a plain service's answer.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
}

// PeerSettings holds the settings of the interface between routers.
type PeerSettings struct {
	// Address is the IP:PORT that routers serve each other on.
	Address string `json:"address"`
}

// ControlSettings holds the settings of the control group.
type ControlSettings struct {
	// Address is the IP:PORT that a control replica serves on.
	Address string `json:"address"`
	// Group lists the addresses of the control replicas.
	Group []string `json:"group"`
	// DataDir is the folder with a replica's state.
	DataDir string `json:"data_dir"`
	// Tick is the unit of time of the group's elections and heartbeats.
	Tick Duration `json:"tick"`
	// ElectionTicks is the shortest election timeout, in ticks.
	ElectionTicks int `json:"election_ticks"`
	// SnapshotBytes is the size of the write-ahead log at which a replica takes a snapshot.
	SnapshotBytes int64 `json:"snapshot_bytes"`
}

// OperatorSettings holds the settings of the interface for operators.
type OperatorSettings struct {
	// Address is the IP:PORT that each process serves operators on.
	Address string `json:"address"`
	// KeyHashes lists the hashes of operators' keys that are valid from the start. On the hosting platform, control VMs serve the interface only if there are any.
	KeyHashes []string `json:"key_hashes"`
}

// BalancerSettings holds the settings of the interface for the platform's load balancer
// and of draining when a process stops.
type BalancerSettings struct {
	// Address is the IP:PORT that serves health checks, readiness and metrics.
	Address string `json:"address"`
	// DrainDelay is how long a stopping router still accepts requests, so that the load balancer can notice that it stops.
	DrainDelay Duration `json:"drain_delay"`
	// DrainTimeout limits how long requests in progress may take when a process stops.
	DrainTimeout Duration `json:"drain_timeout"`
}

// RouteSettings holds the settings of the choice of endpoints.
type RouteSettings struct {
	// MaxQueue limits the number of requests that wait for an endpoint in one router.
	MaxQueue int `json:"max_queue"`
	// MaxAttempts limits the number of endpoints that one request is tried on.
	MaxAttempts int `json:"max_attempts"`
}

// BudgetSettings holds the settings of reservations and bills.
type BudgetSettings struct {
	// ReserveTimeout limits how long a reservation may take.
	ReserveTimeout Duration `json:"reserve_timeout"`
	// SettleTimeout limits how long it may take to book the bill of a complete answer.
	SettleTimeout Duration `json:"settle_timeout"`
	// LeasePercent is the largest percentage of a free budget that one grant leases to a router. A higher value means fewer false refusals during a network partition, but more tokens that can't be used when a router dies.
	LeasePercent int32 `json:"lease_percent"`
	// LeaseHorizon is how long a router's lease should last at full demand.
	LeaseHorizon Duration `json:"lease_horizon"`
	// LeaseIdle is the time without demand after which a router returns its lease.
	LeaseIdle Duration `json:"lease_idle"`
	// ChargeOrphans bills the upper bound of a request whose router died and that nobody retried. Set it to true where overspending is worse, to false where false refusals are worse.
	ChargeOrphans bool `json:"charge_orphans"`
}

// PlatformSettings holds the settings of a process on the hosting platform, which has
// interfaces of its own for callers, endpoints and operators. If they are enabled, the
// settings of the other interfaces don't apply.
type PlatformSettings struct {
	// Enabled runs the process for the platform.
	Enabled bool `json:"enabled"`
	// IP is the IP address of the VM.
	IP string `json:"ip"`
	// CallerAddress is the IP:PORT that routers serve callers on.
	CallerAddress string `json:"caller_address"`
	// ReadyAddress is the IP:PORT that routers answer the load balancer's readiness checks on.
	ReadyAddress string `json:"ready_address"`
	// ControlAddress is the IP:PORT that control replicas serve operators and endpoints on.
	ControlAddress string `json:"control_address"`
	// MeshPort is the port that processes serve each other on. It is the same on all VMs.
	MeshPort int `json:"mesh_port"`
	// MetricsPort is the port that serves metrics.
	MetricsPort int `json:"metrics_port"`
	// Seeds lists the control addresses of some VMs, separated by commas.
	Seeds string `json:"seeds"`
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool `json:"first_start"`
	// MemoryMB limits the memory of the process, in MB.
	MemoryMB int64 `json:"memory_mb"`
	// LinkMbps is the bandwidth of the VM's network link, in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:"link_mbps"`
	// Heartbeat is the interval between two heartbeats of an endpoint.
	Heartbeat Duration `json:"heartbeat"`
	// Contact is the time within which a process has to be in contact with the others again after a disruption.
	Contact Duration `json:"contact"`
	// CatchUp is the time within which a new control VM has to catch up.
	CatchUp Duration `json:"catch_up"`
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Duration `json:"grace"`
	// RetryRatio is the number of retries allowed for each request.
	RetryRatio float64 `json:"retry_ratio"`
	// RetrySlack is the number of retries allowed in each window in addition, over all routers.
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindow is the time window in which retries are counted.
	RetryWindow Duration `json:"retry_window"`
}

// TLSSettings holds the settings of encrypted connections.
type TLSSettings struct {
	// Enabled turns TLS on. It may be off only if all addresses are loopback addresses.
	Enabled bool `json:"enabled"`
	// CertFile is the PEM file with the process's certificate. The certificates that processes present to each other are issued by the same authority.
	CertFile string `json:"cert_file"`
	// KeyFile is the PEM file with the private key of the certificate.
	KeyFile string `json:"key_file"`
	// CAFile is the PEM file with the certificate of the authority.
	CAFile string `json:"ca_file"`
}

// LogSettings holds the settings of the log.
type LogSettings struct {
	// Level is the lowest level that is logged: "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Defaults returns the settings that apply where no file sets them.
func Defaults() Settings {
	return Settings{
		Caller: CallerSettings{
			Address:         "127.0.0.1:8080",
			MaxBodyBytes:    4 << 20,
			MaxHeaderBytes:  64 << 10,
			MaxConnections:  10000,
			DefaultDeadline: Duration(2 * time.Minute),
			KeepAlive:       Duration(5 * time.Second),
			WriteTimeout:    Duration(20 * time.Second),
			ReconnectGrace:  Duration(5 * time.Second),
			KeptBytes:       64 << 20,
		},
		Endpoint: EndpointSettings{
			Address:        "127.0.0.1:8081",
			DeadAfter:      Duration(5 * time.Second),
			Silence:        Duration(5 * time.Second),
			MaxAnswerBytes: 4 << 20,
		},
		Peer: PeerSettings{Address: "127.0.0.1:8082"},
		Control: ControlSettings{
			Address:       "127.0.0.1:8083",
			Tick:          Duration(50 * time.Millisecond),
			ElectionTicks: 10,
			SnapshotBytes: 16 << 20,
		},
		Operator: OperatorSettings{Address: "127.0.0.1:8084"},
		Balancer: BalancerSettings{
			Address:      "127.0.0.1:8085",
			DrainDelay:   Duration(2 * time.Second),
			DrainTimeout: Duration(60 * time.Second),
		},
		Route: RouteSettings{MaxQueue: 1000, MaxAttempts: 4},
		Budget: BudgetSettings{
			ReserveTimeout: Duration(3 * time.Second),
			SettleTimeout:  Duration(10 * time.Second),
			LeasePercent:   10,
			LeaseHorizon:   Duration(time.Minute),
			LeaseIdle:      Duration(2 * time.Minute),
		},
		Log: LogSettings{Level: "info"},
	}
}

// Roles of a process.
const (
	RoleRouter  = "router"
	RoleControl = "control"
)

// HasRole reports whether the process has the role.
func (s Settings) HasRole(role string) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}
