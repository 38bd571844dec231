package config

import (
	"net"
	"slices"
	"strconv"
	"strings"
)

// checkPlatform checks the settings of a process on the hosting platform.
func (s Settings) checkPlatform(c *checker) {
	p := s.Platform
	c.expect(len(s.Roles) == 1 && (s.HasRole(RoleRouter) || s.HasRole(RoleControl)), "roles", s.Roles, `"router" or "control"`)
	c.expect(net.ParseIP(p.IP) != nil, "platform.ip", p.IP, "an IP address")
	if s.HasRole(RoleRouter) {
		c.expect(validAddress(p.CallerAddress), "platform.caller_address", p.CallerAddress, "IP:PORT")
		c.expect(validAddress(p.ReadyAddress), "platform.ready_address", p.ReadyAddress, "IP:PORT")
	}
	if s.HasRole(RoleControl) {
		c.expect(validAddress(p.ControlAddress), "platform.control_address", p.ControlAddress, "IP:PORT")
		s.checkOperators(c)
		c.expect(s.Control.DataDir != "", "ctrl.data_dir", `""`, "the data folder of a control replica")
	}
	s.checkDial(c)
	c.expect(validPort(p.MeshPort), "platform.mesh_port", p.MeshPort, "a port")
	c.expect(validPort(p.MetricsPort) && p.MetricsPort != p.MeshPort, "platform.metrics_port", p.MetricsPort, "a port other than mesh_port")
	for _, a := range p.SeedList() {
		c.expect(validAddress(a), "platform.seeds", a, "IP:PORT")
	}
	c.expect(len(p.SeedList()) > 0, "platform.seeds", p.Seeds, "at least one IP:PORT")
	durations := map[string]Duration{
		"platform.heartbeat": p.Heartbeat, "platform.contact": p.Contact, "platform.catch_up": p.CatchUp,
		"platform.grace": p.Grace, "platform.retry_window": p.RetryWindow,
	}
	for _, name := range []string{"platform.heartbeat", "platform.contact", "platform.catch_up", "platform.grace", "platform.retry_window"} {
		c.expect(durations[name] > 0, name, durations[name], "a duration above 0")
	}
	c.expect(p.RetryRatio >= 0, "platform.retry_ratio", p.RetryRatio, "0 or more")
	c.expect(p.RetrySlack >= 0, "platform.retry_slack", p.RetrySlack, "0 or more")
}

func validPort(port int) bool { return port > 0 && port < 1<<16 }

// SeedList splits Seeds into addresses.
func (p PlatformSettings) SeedList() []string {
	list := strings.Split(p.Seeds, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return slices.DeleteFunc(list, func(a string) bool { return a == "" })
}

// MeshAddress returns the IP:PORT on which the process serves the other processes.
func (p PlatformSettings) MeshAddress() string {
	return net.JoinHostPort(p.IP, strconv.Itoa(p.MeshPort))
}

// MeshSeeds returns the mesh addresses of the seeds. The mesh port is the same on all VMs.
func (p PlatformSettings) MeshSeeds() []string {
	var out []string
	for _, a := range p.SeedList() {
		host, _, err := net.SplitHostPort(a)
		if err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(p.MeshPort)))
		}
	}
	return out
}
