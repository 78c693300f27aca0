package sidecar

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/settings"
)

// Settings are the INI settings of a sidecar process.
type Settings struct {
	Process struct {
		VM       string `ini:"vm" help:"name of this VM"`
		Listen   string `ini:"listen" help:"ip:port for the gateways"`
		MemoryMB int    `ini:"memory_mb" help:"memory of this VM in megabytes"`
	} `ini:"process"`
	Engine struct {
		Address string        `ini:"address" help:"ip:port of the engine on this VM"`
		Period  time.Duration `ini:"period" help:"time between questions to the engine"`
		Timeout time.Duration `ini:"timeout" help:"limit of one question"`
	} `ini:"engine"`
}

// DefaultSettings returns the settings that apply where a settings file sets
// none. The poll period of 40 ms is a tenth of the time that an engine takes
// to prefill a prompt, so that a report is seldom out of date when it is used.
func DefaultSettings() Settings {
	var s Settings
	s.Process.Listen = "127.0.0.1:8082"
	s.Process.MemoryMB = 128
	s.Engine.Period = 40 * time.Millisecond
	s.Engine.Timeout = time.Second
	return s
}

// Options opens the listener and returns the options that the settings define.
// The caller adds the engine's client, with the timeout from the settings.
func (s *Settings) Options(logger log.Logger) (Options, error) {
	if s.Engine.Address == "" {
		return Options{}, errors.New("[engine] address is required")
	}
	l, err := net.Listen("tcp", s.Process.Listen)
	if err != nil {
		return Options{}, errors.Wrap(err, "[process] listen")
	}
	guard := connguard.New(connguard.OptionsFor(s.Process.MemoryMB, settings.BodyRate(), logger))
	return Options{EngineAddr: s.Engine.Address, Listener: l, Guard: guard, Logger: logger, PollPeriod: s.Engine.Period}, nil
}
