package config

import (
	"net"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
)

// checker collects the problems of the settings.
type checker struct {
	problems []error
}

// expect adds a problem unless ok: the field, its value and what was expected.
func (c *checker) expect(ok bool, field string, value any, want string) {
	if !ok {
		c.problems = append(c.problems, errors.Errorf("%s: %v: expected %s", field, value, want))
	}
}

// Check returns all problems of the settings at once, each with the field, its value and
// what was expected.
func (s Settings) Check() error {
	c := &checker{}
	c.expect(s.VM != "", "vm", `""`, "the name of the VM")
	c.expect(len(s.Zones) > 0, "zones", s.Zones, "at least one availability zone")
	c.expect(slices.Contains(s.Zones, s.Zone), "zone", s.Zone, "one of zones")
	if s.Platform.Enabled {
		s.checkPlatform(c)
	} else {
		s.checkRoles(c)
		s.checkAddresses(c)
		s.checkNumbers(c)
		s.checkTLS(c)
	}
	c.expect(slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level), "log.level", s.Log.Level, "debug, info, warn or error")
	return errors.Join(c.problems...)
}

func (s Settings) checkRoles(c *checker) {
	c.expect(len(s.Roles) > 0, "roles", s.Roles, `"router", "control" or both`)
	for _, r := range s.Roles {
		c.expect(r == RoleRouter || r == RoleControl, "roles", r, `"router" or "control"`)
	}
	c.expect(!s.HasRole(RoleControl) || s.Control.DataDir != "", "ctrl.data_dir", `""`, "the data folder of a control replica")
	c.expect(len(s.Control.Group) > 0, "ctrl.group", s.Control.Group, "the addresses of the control replicas")
	s.checkOperators(c)
}

func (s Settings) checkOperators(c *checker) {
	c.expect(validAddress(s.Operator.Address), "oper.address", s.Operator.Address, "IP:PORT")
	for _, h := range s.Operator.KeyHashes {
		c.expect(len(h) == 64, "oper.key_hashes", h, "64 hexadecimal digits, as `buckthornpin key` prints them")
	}
}

// namedAddress is an address and the field that sets it.
type namedAddress struct {
	field, address string
}

// listenAddresses returns the addresses that the process listens on.
func (s Settings) listenAddresses() []namedAddress {
	out := []namedAddress{{"oper.address", s.Operator.Address}, {"platf.address", s.Balancer.Address}}
	if s.HasRole(RoleRouter) {
		out = append(out, namedAddress{"caller.address", s.Caller.Address}, namedAddress{"endpt.address", s.Endpoint.Address}, namedAddress{"peer.address", s.Peer.Address})
	}
	if s.HasRole(RoleControl) {
		out = append(out, namedAddress{"ctrl.address", s.Control.Address})
	}
	return out
}

func (s Settings) checkDial(c *checker) {
	for _, d := range s.Dial {
		c.expect(validAddress(d.Address), "dial.address", d.Address, "IP:PORT")
		c.expect(validAddress(d.Through), "dial.through", d.Through, "IP:PORT")
	}
}

func (s Settings) checkAddresses(c *checker) {
	fieldByAddress := map[string]string{}
	for _, l := range s.listenAddresses() {
		c.expect(validAddress(l.address), l.field, l.address, "IP:PORT")
		other, taken := fieldByAddress[l.address]
		c.expect(!taken || l.address == "" || hasPortZero(l.address), l.field, l.address, "an address other than that of "+other)
		fieldByAddress[l.address] = l.field
	}
	s.checkDial(c)
	for _, a := range s.Control.Group {
		c.expect(validAddress(a), "ctrl.group", a, "IP:PORT")
	}
}

// hasPortZero reports whether an address has port 0, with which the system chooses a free
// port.
func hasPortZero(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port == "0"
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func (s Settings) checkNumbers(c *checker) {
	durations := []struct {
		field string
		value Duration
	}{
		{"caller.default_deadline", s.Caller.DefaultDeadline},
		{"caller.keep_alive", s.Caller.KeepAlive},
		{"caller.write_timeout", s.Caller.WriteTimeout},
		{"endpt.dead_after", s.Endpoint.DeadAfter},
		{"endpt.silence", s.Endpoint.Silence},
		{"ctrl.tick", s.Control.Tick},
		{"platf.drain_timeout", s.Balancer.DrainTimeout},
		{"budget.reserve_timeout", s.Budget.ReserveTimeout},
		{"budget.settle_timeout", s.Budget.SettleTimeout},
	}
	for _, d := range durations {
		c.expect(d.value > 0, d.field, d.value, "a duration above 0")
	}
	numbers := []struct {
		field string
		value int64
	}{
		{"caller.max_body_bytes", s.Caller.MaxBodyBytes},
		{"caller.max_header_bytes", int64(s.Caller.MaxHeaderBytes)},
		{"endpt.max_answer_bytes", s.Endpoint.MaxAnswerBytes},
		{"ctrl.snapshot_bytes", s.Control.SnapshotBytes},
		{"route.max_queue", int64(s.Route.MaxQueue)},
		{"route.max_attempts", int64(s.Route.MaxAttempts)},
	}
	for _, n := range numbers {
		c.expect(n.value > 0, n.field, n.value, "a number above 0")
	}
	c.expect(s.Budget.LeasePercent >= 0 && s.Budget.LeasePercent <= 50, "budget.lease_percent", s.Budget.LeasePercent, "0 to 50")
	c.expect(s.Control.ElectionTicks >= 4, "ctrl.election_ticks", s.Control.ElectionTicks, "at least 4")
}

func (s Settings) checkTLS(c *checker) {
	if s.TLS.Enabled {
		c.expect(s.TLS.CertFile != "", "tls.cert_file", `""`, "a PEM file")
		c.expect(s.TLS.KeyFile != "", "tls.key_file", `""`, "a PEM file")
		c.expect(s.TLS.CAFile != "", "tls.ca_file", `""`, "a PEM file")
		return
	}
	for _, l := range s.listenAddresses() {
		host, _, _ := net.SplitHostPort(l.address)
		ip := net.ParseIP(host)
		c.expect(ip == nil || ip.IsLoopback(), l.field, l.address, "a loopback address, or tls.enabled")
	}
}
