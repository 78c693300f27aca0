package main

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/settings"
)

// operatorSettings are the INI settings of the command line.
type operatorSettings struct {
	Platform struct {
		Store   string        `ini:"store" help:"URL of the key-value service"`
		VMList  string        `ini:"vm_list" help:"URL of the platform's list of VMs"`
		Timeout time.Duration `ini:"timeout" help:"limit of one call to the platform or to a process"`
	} `ini:"platform"`
	Access struct {
		Key string `ini:"key" help:"key that the fleet's processes accept; one of their operator_keys"`
		TLS bool   `ini:"tls" help:"whether the fleet's processes use TLS"`
		CA  string `ini:"ca" help:"file of the authorities to accept in PEM format; the system's if empty"`
	} `ini:"access"`
}

// settingsVariable is the environment variable with the path of the settings
// file.
const settingsVariable = "QUETZALGLADE_SETTINGS"

// defaultTimeout is the default limit of one call to the platform or to a process of
// the fleet.
const defaultTimeout = 3 * time.Second

// clientOptions holds the settings with which the commands reach the store, the VM
// list and the fleet's processes. Flags take precedence over the settings file.
type clientOptions struct {
	settingsFile string
	storeURL     string
	vmListURL    string
	key          string
	settings     operatorSettings
}

func (c *clientOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&c.settingsFile, "settings", os.Getenv(settingsVariable), "settings file of the command line; default from $"+settingsVariable)
	flags.StringVar(&c.storeURL, "store", "", "URL of the platform's key-value service")
	flags.StringVar(&c.vmListURL, "vm-list", "", "URL of the platform's list of VMs")
	flags.StringVar(&c.key, "key", "", "key that the fleet's processes accept; prefer the settings file")
}

// loadSettings reads the settings file, if one is set, and applies the flags.
func (c *clientOptions) loadSettings() error {
	c.settings.Platform.Timeout = defaultTimeout
	if c.settingsFile != "" {
		if err := settings.Load(c.settingsFile, &c.settings); err != nil {
			return err
		}
	}
	overrideIfSet(&c.settings.Platform.Store, c.storeURL)
	overrideIfSet(&c.settings.Platform.VMList, c.vmListURL)
	overrideIfSet(&c.settings.Access.Key, c.key)
	return nil
}

// overrideIfSet sets dst to the value of a flag unless that value is empty.
func overrideIfSet(dst *string, value string) {
	if value != "" {
		*dst = value
	}
}

// openStore loads the settings and returns a client of the key-value store.
func (c *clientOptions) openStore() (kvstore.Store, error) {
	if err := c.loadSettings(); err != nil {
		return nil, err
	}
	if c.settings.Platform.Store == "" {
		return nil, errors.New("no store is configured: set --store URL, or [platform] store in the settings file")
	}
	client, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	return kvstore.NewEtcdStore(c.settings.Platform.Store, client, c.settings.Platform.Timeout), nil
}

// httpClient returns the HTTP client for the platform and the fleet.
func (c *clientOptions) httpClient() (*http.Client, error) {
	authorities := settings.TLS{CA: c.settings.Access.CA}
	cfg, err := authorities.Client()
	if err != nil {
		return nil, err
	}
	return httpclient.New(httpclient.Options{TLS: cfg}), nil
}

// openFleet loads the settings and returns a client of the fleet's processes.
func (c *clientOptions) openFleet() (*operator.Fleet, error) {
	if err := c.loadSettings(); err != nil {
		return nil, err
	}
	if c.settings.Platform.VMList == "" || c.settings.Access.Key == "" {
		return nil, errors.New("no fleet is configured: set --vm-list URL and --key KEY, or [platform] vm_list and [access] key in the settings file")
	}
	client, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	peerClient := peer.NewClient(client, peer.Keys{c.settings.Access.Key})
	if c.settings.Access.TLS {
		peerClient.UseTLS()
	}
	list := vmlist.NewClient(c.settings.Platform.VMList, client)
	return operator.NewFleet(list, peerClient, c.settings.Platform.Timeout), nil
}

// hasFleetSettings reports whether the settings for reaching the fleet's
// processes are present. The settings must be loaded.
func (c *clientOptions) hasFleetSettings() bool {
	return c.settings.Platform.VMList != "" && c.settings.Access.Key != ""
}
