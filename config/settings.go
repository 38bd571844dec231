// Package config reads the settings of a process: a base file, overlays, and
// defaults for what they leave out. All problems are reported at once.
package config

import (
	"time"

	"buckthornpin"
)

// Duration is a time span, written like "1.5s" in files.
type Duration = buckthornpin.Duration

// Settings are all settings of a process.
type Settings struct {
	// VM names the virtual machine; unique within the system.
	VM string `json:"vm"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Zones are the availability zones of the site.
	Zones []string `json:"zones"`
	// Roles are what the process does: "router", "control" or both.
	Roles []string `json:"roles"`

	Caller CallerSettings `json:"caller"`
	Endpt  EndptSettings  `json:"endpt"`
	Peer   PeerSettings   `json:"peer"`
	Ctrl   CtrlSettings   `json:"ctrl"`
	Oper   OperSettings   `json:"oper"`
	Platf  PlatfSettings  `json:"platf"`
	Route  RouteSettings  `json:"route"`
	Budget BudgetSettings `json:"budget"`
	TLS    TLSSettings    `json:"tls"`
	Log    LogSettings    `json:"log"`

	Platform PlatformSettings `json:"platform"`

	// Dial are addresses that this VM reaches through another one.
	Dial []DialSettings `json:"dial"`
}

// DialSettings are an address that is reached through another one.
type DialSettings struct {
	// Address is the IP:PORT as other settings name it.
	Address string `json:"address"`
	// Through is the IP:PORT to connect to.
	Through string `json:"through"`
}

// CallerSettings are the settings of the callers' interface.
type CallerSettings struct {
	// Address is the IP:PORT that routers serve callers on.
	Address string `json:"address"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxConnections bounds the open connections; 0 is no bound.
	MaxConnections int `json:"max_connections"`
	// DefaultDeadline is the deadline of a request that names none.
	DefaultDeadline Duration `json:"default_deadline"`
	// KeepAlive is the time between comments on a silent stream.
	KeepAlive Duration `json:"keep_alive"`
	// WriteTimeout bounds how long a caller may take to accept a part of its answer.
	WriteTimeout Duration `json:"write_timeout"`
	// ReconnectGrace is how long an answer under a caller's own key goes on without a reader.
	ReconnectGrace Duration `json:"reconnect_grace"`
	// KeptBytes bounds the whole answers that a router keeps for callers that come again.
	KeptBytes int `json:"kept_bytes"`
}

// EndptSettings are the settings of the endpoints' interface.
type EndptSettings struct {
	// Address is the IP:PORT that routers take announcements on.
	Address string `json:"address"`
	// SecretFile holds the secret shared with endpoints; empty asks for none.
	SecretFile string `json:"secret_file"`
	// DeadAfter is the age of an announcement beyond which an endpoint gets no work.
	DeadAfter Duration `json:"dead_after"`
	// Silence is the longest time without a byte before an answer counts as broken.
	Silence Duration `json:"silence"`
	// MaxAnswerBytes bounds the answer of a plain service.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
}

// PeerSettings are the settings of the link between routers.
type PeerSettings struct {
	// Address is the IP:PORT that routers serve each other on.
	Address string `json:"address"`
}

// CtrlSettings are the settings of the control group.
type CtrlSettings struct {
	// Address is the IP:PORT that a control replica serves on.
	Address string `json:"address"`
	// Group are the addresses of the control replicas.
	Group []string `json:"group"`
	// DataDir is the folder of a replica's state.
	DataDir string `json:"data_dir"`
	// Tick is the unit of the group's election and heartbeat times.
	Tick Duration `json:"tick"`
	// ElectionTicks is the shortest election timeout, in ticks.
	ElectionTicks int `json:"election_ticks"`
	// SnapshotBytes is the size of the log that starts a snapshot.
	SnapshotBytes int64 `json:"snapshot_bytes"`
}

// OperSettings are the settings of the operators' interface.
type OperSettings struct {
	// Address is the IP:PORT that each process serves operators on.
	Address string `json:"address"`
	// KeyHashes are hashes of operators' keys that are valid from the start. On the users' platform control VMs serve the interface if there are any.
	KeyHashes []string `json:"key_hashes"`
}

// PlatfSettings are the settings of what the platform's balancer asks.
type PlatfSettings struct {
	// Address is the IP:PORT for health, readiness and metrics.
	Address string `json:"address"`
	// DrainDelay is how long a stopping router still takes work, so that the balancer can notice.
	DrainDelay Duration `json:"drain_delay"`
	// DrainTimeout bounds how long requests in progress may take at a stop.
	DrainTimeout Duration `json:"drain_timeout"`
}

// RouteSettings are the settings of the choice of endpoints.
type RouteSettings struct {
	// MaxQueue bounds the requests that wait for an endpoint in one router.
	MaxQueue int `json:"max_queue"`
	// MaxAttempts bounds the endpoints that one request is tried on.
	MaxAttempts int `json:"max_attempts"`
}

// BudgetSettings are the settings of reservations and bills.
type BudgetSettings struct {
	// ReserveTimeout bounds how long a reservation may take.
	ReserveTimeout Duration `json:"reserve_timeout"`
	// SettleTimeout bounds how long the bill of a whole answer may take.
	SettleTimeout Duration `json:"settle_timeout"`
	// LeasePercent is the largest share of a free budget that one grant hands down to a router. More of it means fewer false refusals in a cut, and more tokens out of use when a router dies.
	LeasePercent int32 `json:"lease_percent"`
	// LeaseHorizon is the time of full demand that a router's lease should cover.
	LeaseHorizon Duration `json:"lease_horizon"`
	// LeaseIdle is the time without demand after which a router gives its lease back.
	LeaseIdle Duration `json:"lease_idle"`
	// ChargeOrphans bills the bound of a request whose router died and that nobody retried: true where overspend weighs more, false where false refusals do.
	ChargeOrphans bool `json:"charge_orphans"`
}

// PlatformSettings are the settings of a process on the users' platform, which
// has interfaces of its own for callers, endpoints and operators. If they are
// enabled, those of the other interfaces don't apply.
type PlatformSettings struct {
	// Enabled runs the process for the platform.
	Enabled bool `json:"enabled"`
	// IP is the VM's address.
	IP string `json:"ip"`
	// CallerAddress is the IP:PORT that routers serve callers on.
	CallerAddress string `json:"caller_address"`
	// ReadyAddress is the IP:PORT that routers answer the balancer on.
	ReadyAddress string `json:"ready_address"`
	// ControlAddress is the IP:PORT that control serves operators and endpoints on.
	ControlAddress string `json:"control_address"`
	// MeshPort is the port on which processes serve each other.
	MeshPort int `json:"mesh_port"`
	// MetricsPort is the port for metrics.
	MetricsPort int `json:"metrics_port"`
	// Seeds are control addresses of some VMs, separated by commas.
	Seeds string `json:"seeds"`
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool `json:"first_start"`
	// MemoryMB bounds the memory of the process, in MB.
	MemoryMB int64 `json:"memory_mb"`
	// LinkMbps is what the VM's link carries, in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:"link_mbps"`
	// Heartbeat is the time between two heartbeats of an endpoint.
	Heartbeat Duration `json:"heartbeat"`
	// Contact is the time after a disruption in which a process has to be in touch again.
	Contact Duration `json:"contact"`
	// CatchUp is the time that a new control VM has for catching up.
	CatchUp Duration `json:"catch_up"`
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Duration `json:"grace"`
	// RetryRatio is the number of repeats allowed for each request.
	RetryRatio float64 `json:"retry_ratio"`
	// RetrySlack is the number of repeats allowed besides in each window, over all routers.
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindow is the span over which repeats are counted.
	RetryWindow Duration `json:"retry_window"`
}

// TLSSettings are the settings of encrypted connections.
type TLSSettings struct {
	// Enabled turns TLS on; it may be off only where all addresses are loopback.
	Enabled bool `json:"enabled"`
	// CertFile, KeyFile and CAFile are PEM files. The processes show each other certificates of the same authority.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// LogSettings are the settings of the log.
type LogSettings struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Defaults returns the settings in force where files name nothing else.
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
		Endpt: EndptSettings{
			Address:        "127.0.0.1:8081",
			DeadAfter:      Duration(5 * time.Second),
			Silence:        Duration(5 * time.Second),
			MaxAnswerBytes: 4 << 20,
		},
		Peer: PeerSettings{Address: "127.0.0.1:8082"},
		Ctrl: CtrlSettings{
			Address:       "127.0.0.1:8083",
			Tick:          Duration(50 * time.Millisecond),
			ElectionTicks: 10,
			SnapshotBytes: 16 << 20,
		},
		Oper: OperSettings{Address: "127.0.0.1:8084"},
		Platf: PlatfSettings{
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

// Has reports whether the process has a role.
func (s Settings) Has(role string) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}
