package main

import (
	"time"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/platform"
)

// usageOptions returns how usage is reported, or nil if the settings don't ask for reports.
func usageOptions(s *platform.Settings, store *platform.Store) *coordinator.UsageOptions {
	if !s.ReportsUsage() {
		return nil
	}
	b := &s.Bounds
	return &coordinator.UsageOptions{
		Window: time.Duration(b.Window), Lease: time.Duration(b.Lease), Late: time.Duration(b.UsageLate), Tolerance: b.UsageTolerance,
		PerSecond: s.Cloud.PerSecond, Store: store, Send: platform.NewUsageClient(s.Cloud.Address, coordinator.HostClock).Send,
	}
}
