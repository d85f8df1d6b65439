// Package secure loads the credentials of a listener or dialler: certificates and private keys, trusted
// authorities, and keys shared by both sides. Files are reloaded when they change, so that keys are
// replaced without a restart.
package secure
