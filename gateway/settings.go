package gateway

import (
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// Settings are the INI settings of a gateway process.
type Settings struct {
	Process struct {
		VM          string   `ini:"vm" help:"name of this VM"`
		Datacentre  string   `ini:"datacentre" help:"data centre of this VM"`
		Zones       []string `ini:"regions" help:"data centres and their regions, as datacentre:region"`
		Front       string   `ini:"front" help:"ip:port for clients"`
		Ready       string   `ini:"ready" help:"ip:port for the balancer's questions"`
		Peer        string   `ini:"peer" help:"ip:port for other gateways and the metrics page"`
		SidecarPort int      `ini:"sidecar_port" help:"port of the sidecars beside model engines; 0 for none"`
		MemoryMB    int      `ini:"memory_mb" help:"memory of this VM in megabytes"`
		LinkMbps    float64  `ini:"link_mbps" help:"bandwidth of this VM's network link in Mbit/s; 0 if unknown"`
	} `ini:"process"`
	Store struct {
		Address string        `ini:"address" help:"ip:port of the key-value store"`
		Timeout time.Duration `ini:"timeout" help:"limit of one call"`
		Watch   time.Duration `ini:"watch" help:"longest wait of a watch; bounds how long a silent connection goes unnoticed"`
	} `ini:"store"`
	Stop struct {
		BalancerGrace time.Duration `ini:"balancer_grace" help:"time after a stop signal in which requests are still accepted"`
		Limit         time.Duration `ini:"limit" help:"time after a stop signal at which the process is killed"`
	} `ini:"stop"`
	Retries struct {
		Ratio   float64       `ini:"ratio" help:"retries allowed for each request of a service"`
		Reserve float64       `ini:"reserve" help:"retries allowed to all processes together beyond the ratio"`
		Window  time.Duration `ini:"window" help:"time over which retries are counted"`
	} `ini:"retries"`
}

// Default values of settings.
const (
	// defaultStoreTimeout tolerates a store whose calls take sixty times the
	// normal duration of four milliseconds.
	defaultStoreTimeout = 1500 * time.Millisecond
	// defaultWatch is the longest wait of a watch of the store. A gateway that
	// reads the feed of another one rejects state older than 1500 ms
	// (feed.maxStateAge). defaultWatch and two feed watches in a row of 400 ms
	// each (feed.watchTimeout) add up to that limit, so a longer wait would make
	// up-to-date state count as stale.
	defaultWatch = 700 * time.Millisecond
	// defaultBalancerGrace covers two readiness checks of the load balancer,
	// which are one second apart.
	defaultBalancerGrace = 2500 * time.Millisecond
	defaultStopLimit     = 8 * time.Second
	// stopMargin is the time between the end of a graceful stop and the time at
	// which the process is killed. Answers that were due late take up to minAnswerTime of it.
	stopMargin = 150 * time.Millisecond
)

// DefaultSettings returns the settings that apply where a settings file sets
// none.
func DefaultSettings() Settings {
	var s Settings
	s.Process.Front = "127.0.0.1:8080"
	s.Process.Ready = "127.0.0.1:8081"
	s.Process.Peer = "127.0.0.1:8083"
	s.Process.MemoryMB = defaultMemoryMB
	s.Store.Timeout = defaultStoreTimeout
	s.Store.Watch = defaultWatch
	s.Stop.BalancerGrace = defaultBalancerGrace
	s.Stop.Limit = defaultStopLimit
	s.Retries.Ratio = 0.2
	s.Retries.Reserve = 20
	s.Retries.Window = 10 * time.Second
	return s
}

// Options opens the listeners and returns the options that the settings define.
// The caller adds the store, the codec and the decoders.
func (s *Settings) Options(logger log.Logger) (Options, error) {
	if s.Store.Address == "" {
		return Options{}, errors.New("[store] address is required")
	}
	o := Options{
		VM: s.Process.VM, Datacentre: s.Process.Datacentre, Regions: map[string]string{}, LinkMbps: s.Process.LinkMbps, MemoryMB: s.Process.MemoryMB, Logger: logger,
		BalancerGrace: s.Stop.BalancerGrace, DrainLimit: s.Stop.Limit - stopMargin,
		SidecarPort: s.Process.SidecarPort, RetryRatio: s.Retries.Ratio, RetryReserve: s.Retries.Reserve, RetryWindow: s.Retries.Window,
	}
	for _, entry := range s.Process.Zones {
		datacentre, region, ok := strings.Cut(entry, ":")
		if !ok {
			return Options{}, errors.Newf("[process] regions: %q is not datacentre:region", entry)
		}
		o.Regions[datacentre] = region
	}
	var err error
	if o.ClientListener, err = net.Listen("tcp", s.Process.Front); err != nil {
		return Options{}, errors.Wrap(err, "[process] front")
	}
	if o.ReadinessListener, err = net.Listen("tcp", s.Process.Ready); err != nil {
		return Options{}, errors.Wrap(err, "[process] ready")
	}
	if o.PeerListener, err = net.Listen("tcp", s.Process.Peer); err != nil {
		return Options{}, errors.Wrap(err, "[process] peer")
	}
	return o, nil
}
