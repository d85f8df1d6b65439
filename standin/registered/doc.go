// Package registered provides a stand-in for an upstream on the platform: it registers itself in the store,
// runs requests in slots with a short queue in front, injects faults, and reports each request.
package registered
