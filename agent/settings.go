package agent

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"

	"github.com/quetzalglade/quetzalglade/settings"
)

// Settings are the INI settings of an agent process.
type Settings struct {
	Process struct {
		VM           string        `ini:"vm" help:"name of this VM in the platform's list"`
		Listen       string        `ini:"listen" help:"ip:port for other processes"`
		Datacentre   string        `ini:"datacentre" help:"data centre of this VM"`
		Region       string        `ini:"region" help:"region of this VM"`
		Keys         []string      `ini:"keys" help:"shared keys of the fleet; the first is sent, all are accepted"`
		DrainGrace   time.Duration `ini:"drain_grace" help:"time after a stop signal in which other processes are answered at least"`
		DrainLimit   time.Duration `ini:"drain_limit" help:"longest wait for running work at a stop"`
		OperatorKeys []string      `ini:"operator_keys" help:"keys of operators' tools, for drain, decisions, state and metrics; the fleet's keys if empty"`
	} `ini:"process"`
	TLS    settings.TLS `ini:"tls"`
	Target struct {
		Engine string `ini:"engine" help:"URL of the model engine; this or plain"`
		Plain  string `ini:"plain" help:"URL of the plain service; this or engine"`
		Role   string `ini:"role" help:"role that plain services select their targets by"`
		Slots  int    `ini:"slots" help:"requests in progress at the target"`
		Queue  int    `ini:"queue" help:"requests that wait at most"`
	} `ini:"target"`
	Admission struct {
		MaxWait    time.Duration `ini:"max_wait" help:"expected wait from which on work is refused at once; 0 for none"`
		TokenGap   time.Duration `ini:"token_gap" help:"target of the time between tokens, which bounds the batch; 0 for none"`
		ShortShare float64       `ini:"short_share" help:"part of slots and memory that is kept for short work"`
		AgeStep    time.Duration `ini:"age_step" help:"wait that raises work by one priority; 0 for none"`
		Fair       bool          `ini:"fair" help:"share the target between workspaces by their weights"`
		Memory     bool          `ini:"memory" help:"admit work only while its forecast memory fits"`
		MemoryRisk float64       `ini:"memory_risk" help:"standard deviations of memory to spare"`
	} `ini:"admission"`
	Platform struct {
		Store        string        `ini:"store" help:"URL of the key-value service"`
		StoreTimeout time.Duration `ini:"store_timeout" help:"limit of one call to the key-value service"`
	} `ini:"platform"`
}

// DefaultSettings returns the values of settings that the settings file leaves
// out.
func DefaultSettings() Settings {
	var s Settings
	s.Process.Listen = "127.0.0.1:8081"
	s.Process.DrainGrace = defaultDrainGrace
	s.Process.DrainLimit = defaultDrainLimit
	s.setLimits(decision.DefaultQueueLimits())
	s.Platform.StoreTimeout = 2 * time.Second
	return s
}

func (s *Settings) setLimits(l decision.QueueLimits) {
	s.Target.Slots, s.Target.Queue = l.Slots, l.MaxWaiting
	s.Admission.MaxWait, s.Admission.TokenGap = l.MaxWait, l.InterTokenTarget
	s.Admission.ShortShare, s.Admission.AgeStep = l.ShortShare, l.AgeStep
	s.Admission.Fair, s.Admission.Memory, s.Admission.MemoryRisk = l.Fair, l.ForecastKV, l.KVRisk
}

func (s *Settings) limits() decision.QueueLimits {
	a := &s.Admission
	return decision.QueueLimits{
		Slots: s.Target.Slots, MaxWaiting: s.Target.Queue, MaxWait: a.MaxWait, InterTokenTarget: a.TokenGap,
		ShortShare: a.ShortShare, AgeStep: a.AgeStep, Fair: a.Fair, ForecastKV: a.Memory, KVRisk: a.MemoryRisk,
	}
}

// Options opens the listener and returns the options of an agent.
func (s *Settings) Options(logger log.Logger) (Options, error) {
	if s.Platform.Store == "" {
		return Options{}, errors.New("[platform] store is required")
	}
	listener, clientTLS, err := httpserve.Listen(s.Process.Listen, &s.TLS)
	if err != nil {
		return Options{}, err
	}
	return Options{
		VM: s.Process.VM, Datacentre: s.Process.Datacentre, Region: s.Process.Region, Role: s.Target.Role,
		Listener: listener, EngineURL: s.Target.Engine, PlainURL: s.Target.Plain, Keys: peer.Keys(s.Process.Keys),
		OperatorKeys: peer.Keys(s.Process.OperatorKeys), TLS: s.TLS.Enabled(), ClientTLS: clientTLS,
		Store:  kvstore.NewEtcdStore(s.Platform.Store, httpclient.New(httpclient.Options{TLS: clientTLS}), s.Platform.StoreTimeout),
		Guard:  connguard.New(connguard.OptionsFor(settings.MemoryMB(), settings.BodyRate(), logger)),
		Logger: logger, Limits: s.limits(),
		DrainGrace: s.Process.DrainGrace, DrainLimit: s.Process.DrainLimit,
	}, nil
}
