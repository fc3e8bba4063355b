//go:build !faults

package system

import "time"

// FaultsEnabled reports whether this build can inject failures into system calls.
const FaultsEnabled = false

func injectedFailure(Call) error           { return nil }
func transferLimit(_ Call, length int) int { return length }
func wallClockSkew() time.Duration         { return 0 }
