package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/claim"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/settings"
)

// Settings holds the INI settings of an entry process.
type Settings struct {
	Process struct {
		VM            string        `ini:"vm" help:"name of this VM in the platform's list"`
		Listen        string        `ini:"listen" help:"ip:port for callers and other processes"`
		Datacentre    string        `ini:"datacentre" help:"data centre of this VM"`
		Region        string        `ini:"region" help:"region of this VM"`
		Keys          []string      `ini:"keys" help:"shared keys of the fleet; the first is sent, all are accepted"`
		BalancerGrace time.Duration `ini:"balancer_grace" help:"time after a stop signal in which requests are still accepted"`
		DrainLimit    time.Duration `ini:"drain_limit" help:"longest wait for answers in progress at a stop"`
		OperatorKeys  []string      `ini:"operator_keys" help:"keys of operators' tools, for drain, decisions, state and metrics; the fleet's keys if empty"`
	} `ini:"process"`
	TLS      settings.TLS `ini:"tls"`
	Platform struct {
		Store        string        `ini:"store" help:"URL of the key-value service"`
		StoreTimeout time.Duration `ini:"store_timeout" help:"limit of one call to the key-value service"`
		VMList       string        `ini:"vm_list" help:"URL of the platform's list of VMs"`
	} `ini:"platform"`
	Routing struct {
		Policy string `ini:"policy" help:"round_robin, least_outstanding, two_choices, least_work or late_binding"`
	} `ini:"routing"`
	Claims struct {
		Retention time.Duration `ini:"retention" help:"time for which the outcome of a call with a caller's key is kept"`
		Writes    int           `ini:"writes_per_second" help:"share of the store's write rate that this process uses for claims"`
		Group     int           `ini:"group" help:"claims in one store write at most; 1 turns grouping off"`
	} `ini:"claims"`
}

// DefaultSettings returns the default settings; a settings file overrides them.
func DefaultSettings() Settings {
	var s Settings
	s.Process.Listen = "127.0.0.1:8080"
	s.Process.BalancerGrace = defaultBalancerGrace
	s.Process.DrainLimit = defaultDrainLimit
	s.Platform.StoreTimeout = 2 * time.Second
	s.Claims.Retention = defaultClaimRetention
	s.Claims.Writes = claim.DefaultWritesPerSecond
	s.Claims.Group = claim.DefaultMaxBatchSize
	s.Routing.Policy = string(decision.PolicyLeastWork)
	return s
}

// Options opens the listener and returns the Options for New. It returns an error
// if a required setting is missing or the listener cannot be opened.
func (s *Settings) Options(logger log.Logger) (Options, error) {
	if s.Platform.Store == "" || s.Platform.VMList == "" {
		return Options{}, errors.New("[platform] store and vm_list are required")
	}
	listener, clientTLS, err := httpserve.Listen(s.Process.Listen, &s.TLS)
	if err != nil {
		return Options{}, err
	}
	client := httpclient.New(httpclient.Options{TLS: clientTLS})
	return Options{
		VM: s.Process.VM, Datacentre: s.Process.Datacentre, Region: s.Process.Region, Listener: listener,
		Keys: peer.Keys(s.Process.Keys), OperatorKeys: peer.Keys(s.Process.OperatorKeys), TLS: s.TLS.Enabled(), ClientTLS: clientTLS,
		Guard:  connguard.New(connguard.OptionsFor(settings.MemoryMB(), settings.BodyRate(), logger)),
		Logger: logger, Policy: decision.Policy(s.Routing.Policy),
		Store:         kvstore.NewEtcdStore(s.Platform.Store, client, s.Platform.StoreTimeout),
		VMLister:      vmlist.NewClient(s.Platform.VMList, client),
		BalancerGrace: s.Process.BalancerGrace, DrainLimit: s.Process.DrainLimit,
		ClaimRetention: s.Claims.Retention,
		Claims:         claim.BatchOptions{WritesPerSecond: s.Claims.Writes, MaxBatchSize: s.Claims.Group},
	}, nil
}
