// Package standin is a small stand-in of the platform's log and host list for `dev` and tests. Server implements
// platform.Log and platform.HostList itself, and Handler serves them over HTTP. Its faults are switched from Go with
// SetFaults and over HTTP:
//
//	GET, PUT /faults   the Faults in force, as JSON
//	PUT      /hosts    the true list of hosts, as JSON {"hosts":[...]}
//
// It keeps everything in memory and is not a store to run in production.
package standin
