package settings

import (
	"net/netip"

	"jacinthferry/core/fault"
)

// Endpoint is an address to listen on or to call.
type Endpoint struct {
	// Address is an IP address and a port.
	Address string `json:"address"`
	// TLS names this side's certificate and the trusted authorities. The zero value means cleartext.
	TLS TLS `json:"tls,omitzero"`
	// Secret is the path of a file with the keys shared by both sides, one per line. The first key is
	// sent and each is accepted.
	Secret string `json:"secret,omitempty"`
}

// TLS names the PEM files of one endpoint. They are reloaded when they change.
type TLS struct {
	// Cert is the path of this side's certificate, followed by its intermediate certificates.
	Cert string `json:"cert,omitempty"`
	// Key is the path of this side's private key.
	Key string `json:"key,omitempty"`
	// CA is the path of the certificate authorities that are trusted to issue the peer's
	// certificate. A listener with authorities refuses clients without a certificate.
	CA string `json:"authority,omitempty"`
	// ServerName is the name that a client expects in the server's certificate, if it is not the address.
	ServerName string `json:"server,omitempty"`
}

// Upstream configures the connections to upstreams. Its fields are as in Endpoint.
type Upstream struct {
	TLS    TLS    `json:"tls,omitzero"`
	Secret string `json:"secret,omitempty"`
}

func (e Endpoint) check(path string, listens bool) []Fault {
	faults := nonNil(checkAddress(path+".address", e.Address, listens))
	faults = append(faults, e.TLS.check(path+".tls")...)
	if listens && e.TLS != (TLS{}) && e.TLS.Cert == "" {
		faults = append(faults, fault.New(path+".tls.cert", "is empty, want the file of the listener's certificate"))
	}

	return faults
}

func (t TLS) check(path string) []Fault {
	var faults []Fault
	if t.Cert == "" && t.Key != "" {
		faults = append(faults, fault.New(path+".cert", "is empty, want the file of the certificate that goes with key"))
	}
	if t.Cert != "" && t.Key == "" {
		faults = append(faults, fault.New(path+".key", "is empty, want the file of the key that goes with cert"))
	}

	return faults
}

func checkAddress(path, text string, listens bool) *Fault {
	if text == "" {
		return newFault(path, `is empty, want an IP number and a port such as "10.0.0.7:7000"`)
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return newFault(path, `is %q, want an IP number and a port such as "10.0.0.7:7000"`, text)
	}
	if listens && a.Addr().IsUnspecified() {
		return newFault(path, "is %q, want the IP number that others reach this instance by", text)
	}
	if !listens && a.Port() == 0 {
		return newFault(path, "is %q, want the port that the other side listens on", text)
	}

	return nil
}
