// Package submit decides which upstream a non-idempotent request is sent to. It is sent to one upstream
// at a time, and to another one only if the last one certainly did not execute it.
package submit
