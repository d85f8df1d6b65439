package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"jacinthferry/core/fault"
)

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 63

// checker collects faults and the zones, upstreams and addresses seen so far.
type checker struct {
	faults    []fault.Fault
	zones     map[string]bool
	upstreams map[string]string
	addresses map[string]string
}

func (k *checker) add(path, format string, args ...any) {
	k.faults = append(k.faults, fault.New(path, format, args...))
}

// Check returns all semantic faults of c, or nil if it is valid.
func (c Config) Check() []fault.Fault {
	k := &checker{
		zones: make(map[string]bool), upstreams: make(map[string]string), addresses: make(map[string]string),
	}
	if len(c.Zones) == 0 {
		k.add("zones", "is empty, want at least one availability zone")
	}
	for i, z := range c.Zones {
		path := elementPath("zones", i, z.Name)
		k.checkName(path, z.Name)
		if k.zones[z.Name] {
			k.add(path, "name %q stands twice, want each zone once", z.Name)
		}
		k.zones[z.Name] = true
	}
	services := make(map[string]bool)
	for i, s := range c.Services {
		path := elementPath("services", i, s.Name)
		k.checkName(path, s.Name)
		if services[s.Name] {
			k.add(path, "name %q stands twice, want each service once", s.Name)
		}
		services[s.Name] = true
		k.checkService(path, s)
	}

	return k.faults
}

func (k *checker) checkService(path string, s Service) {
	if len(s.Versions) == 0 {
		k.add(path+".versions", "is empty, want at least one version")

		return
	}
	var sum float64
	versions := make(map[string]bool)
	for i, v := range s.Versions {
		versionPath := elementPath(path+".versions", i, v.Name)
		k.checkName(versionPath, v.Name)
		if versions[v.Name] {
			k.add(versionPath, "name %q stands twice, want each version once", v.Name)
		}
		versions[v.Name] = true
		k.checkVersion(versionPath, v)
		sum += max(v.Share, 0)
	}
	if sum == 0 {
		k.add(path+".versions", "no version has a share, want at least one share above 0")
	}
}

func (k *checker) checkVersion(path string, v Version) {
	if v.Share < 0 || math.IsNaN(v.Share) || math.IsInf(v.Share, 0) {
		k.add(path+".share", "is %g, want 0 or more", v.Share)
	}
	if len(v.Upstreams) == 0 {
		k.add(path+".upstreams", "is empty, want at least one upstream")
	}
	for i, u := range v.Upstreams {
		k.checkUpstream(elementPath(path+".upstreams", i, u.Name), u)
	}
}

func (k *checker) checkUpstream(path string, u Upstream) {
	k.checkName(path, u.Name)
	if other, duplicate := k.upstreams[u.Name]; duplicate {
		k.add(path, "name %q is that of %s too, want names that differ over all services", u.Name, other)
	} else {
		k.upstreams[u.Name] = path
	}
	if !validAddress(u.Address) {
		k.add(path+".address", `is %q, want an IP number and a port such as "10.0.0.7:9000"`, u.Address)
	} else if other, duplicate := k.addresses[u.Address]; duplicate {
		k.add(path+".address", "%q is that of %s too, want one upstream at an address", u.Address, other)
	} else {
		k.addresses[u.Address] = path
	}
	if !k.zones[u.Zone] {
		k.add(path+".zone", "there is no availability zone %q, want one of zones", u.Zone)
	}
	if u.Slots < 1 {
		k.add(path+".slots", "is %d, want 1 or more", u.Slots)

		return
	}
	if u.MaxConnections < u.Slots {
		k.add(path+".connections", "is %d, want at least the %d slots", u.MaxConnections, u.Slots)
	}
	if u.ColdLimit < 1 || u.ColdLimit > u.Slots {
		k.add(path+".bears", "is %d, want 1 to the %d slots", u.ColdLimit, u.Slots)
	}
}

func (k *checker) checkName(path, name string) {
	if !validName(name) {
		k.add(path+".name", "is %q, want 1 to %d letters, digits, dots, dashes and underscores", name, maxNameLength)
	}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-", r) {
			return false
		}
	}

	return true
}

// elementPath returns the path of the i-th element of a list. It has the element's name if that is
// valid, and else i.
func elementPath(list string, i int, name string) string {
	if !validName(name) {
		return fmt.Sprintf("%s[%d]", list, i)
	}

	return fmt.Sprintf("%s[%s]", list, name)
}

// The largest port, and the largest octet of an IPv4 address.
const (
	maxPort  = 1<<16 - 1
	maxOctet = 1<<8 - 1
)

// validAddress reports whether text is an IP address and a port.
func validAddress(text string) bool {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 || !validNumber(text[colon+1:], 1, maxPort) {
		return false
	}
	host := text[:colon]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		inner, ok = strings.CutSuffix(inner, "]")

		return ok && strings.Contains(inner, ":") && strings.Trim(inner, "0123456789abcdefABCDEF:") == ""
	}
	octets := strings.Split(host, ".")
	for _, o := range octets {
		if !validNumber(o, 0, maxOctet) {
			return false
		}
	}

	return len(octets) == 4
}

func validNumber(text string, low, high int) bool {
	n, err := strconv.Atoi(text)

	return err == nil && n >= low && n <= high && text == strconv.Itoa(n)
}
