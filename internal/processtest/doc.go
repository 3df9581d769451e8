// Package processtest tests the daemon as separate processes of the operating system.
//
// Its tests start several entries of cmd/boragehinge with settings from flags and environment variables, and let them
// fail: they are killed, frozen, cut off and replaced. The stand-in of the platform and the emulated upstreams run in the
// test process, so that a test can read the upstreams' own record of what ran. All traffic stays on loopback, and peer
// links use TLS 1.3 with certificates made for the test.
//
// The package has no code outside its tests.
package processtest
