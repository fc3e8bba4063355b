//go:build !faults

package system

import "time"

// Faulty reports whether this build can make system calls fail.
const Faulty = false

func failure(Call) error           { return nil }
func limit(_ Call, length int) int { return length }
func skew() time.Duration          { return 0 }
