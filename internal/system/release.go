//go:build !faults

package system

import "time"

// FaultsEnabled reports whether this build can make system calls fail.
const FaultsEnabled = false

func failure(Call) error           { return nil }
func limit(_ Call, length int) int { return length }
func skew() time.Duration          { return 0 }
