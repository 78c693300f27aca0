package settings

import (
	"os"
	"strconv"
)

// memoryVariable is the environment variable with the memory of the VM in MB, for processes
// without a setting for it: earlier builds exit at a setting that they do not know.
const memoryVariable = "QUETZALGLADE_MEMORY_MB"

// MemoryMB returns the memory of the VM in MB, 0 if unknown.
func MemoryMB() int {
	mb, err := strconv.Atoi(os.Getenv(memoryVariable))
	if err != nil || mb < 0 {
		return 0
	}
	return mb
}

// bodyRateVariable is the environment variable with the least rate of bodies.
const bodyRateVariable = "QUETZALGLADE_BODY_RATE"

// BodyRate returns the least rate of bodies in bytes per second, 0 for the default and below
// 0 for none.
func BodyRate() int64 {
	rate, err := strconv.ParseInt(os.Getenv(bodyRateVariable), 10, 64)
	if err != nil {
		return 0
	}
	return rate
}
