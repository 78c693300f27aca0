// Package operator implements the operator's side: reading declarations,
// checking them, and publishing them as the configuration in force.
package operator

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/settings"
)

// FileName is the name of a declaration file.
const FileName = "quetzalglade.ini"

// serviceKeys are the keys of a [service NAME] section.
type serviceKeys struct {
	Kind       string        `ini:"kind"`
	Model      string        `ini:"model"`
	Adapter    string        `ini:"adapter"`
	Role       string        `ini:"role"`
	Priority   int           `ini:"priority"`
	Short      bool          `ini:"short"`
	Idempotent []string      `ini:"idempotent"`
	Once       []string      `ini:"once"`
	MaxTokens  int           `ini:"max_tokens"`
	MaxBody    int64         `ini:"max_body"`
	Queue      time.Duration `ini:"queue"`
	Timeout    time.Duration `ini:"timeout"`
	Resume     time.Duration `ini:"resume"`
}

// workspaceKeys are the keys of a [workspace NAME] section.
type workspaceKeys struct {
	Weight        int      `ini:"weight"`
	KeyHashes     []string `ini:"key_hashes"`
	Services      []string `ini:"services"`
	MaxConcurrent int      `ini:"max_concurrent"`
}

// Collect reads all declaration files below the directories. Every fault of
// every file is returned at once, as settings.Faults.
func Collect(dirs []string) ([]config.Document, error) {
	var files []string
	for _, dir := range dirs {
		found, err := find(dir)
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	if len(files) == 0 {
		return nil, errors.Newf("no %s below %s", FileName, strings.Join(dirs, ", "))
	}
	sort.Strings(files)
	var docs []config.Document
	var faults settings.Faults
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read declaration")
		}
		doc, found := Parse(file, data)
		faults = append(faults, found...)
		docs = append(docs, doc)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return docs, nil
}

func find(dir string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !d.IsDir() && d.Name() == FileName {
			files = append(files, path)
		}
		return nil
	})
	return files, errors.Wrap(err, "find declarations")
}

// Parse reads one declaration file as a document.
func Parse(file string, data []byte) (config.Document, settings.Faults) {
	sections, faults := settings.ReadSections(file, data)
	doc := config.Document{Name: file}
	for i := range sections {
		sec := &sections[i]
		kind, name, ok := strings.Cut(sec.Name, " ")
		switch {
		case ok && kind == "service":
			svc, found := parseService(sec, name)
			faults = append(faults, found...)
			doc.Services = append(doc.Services, svc)
		case ok && kind == "workspace":
			ws, found := parseWorkspace(sec, name)
			faults = append(faults, found...)
			doc.Workspaces = append(doc.Workspaces, ws)
		default:
			faults = append(faults, settings.Fault{File: file, Line: sec.Line, Message: fmt.Sprintf("section [%s] is neither [service NAME] nor [workspace NAME]", sec.Name)})
		}
	}
	return doc, faults
}

func parseService(sec *settings.Section, name string) (config.Service, settings.Faults) {
	var k serviceKeys
	faults := sec.Decode(&k)
	svc := config.Service{
		Name: name, Kind: config.Kind(k.Kind), Model: k.Model, Adapter: k.Adapter, Role: k.Role,
		Priority: k.Priority, Short: k.Short, IdempotentMethods: k.Idempotent, OnceMethods: k.Once,
		MaxTokens: k.MaxTokens, MaxBody: k.MaxBody,
		QueueMillis: k.Queue.Milliseconds(), TimeoutMillis: k.Timeout.Milliseconds(), ResumeMillis: k.Resume.Milliseconds(),
	}
	fault := func(message string) {
		faults = append(faults, settings.Fault{File: sec.File, Line: sec.Line, Message: message})
	}
	switch {
	case svc.Kind == config.KindModel && svc.Model == "":
		fault("a model service needs a model")
	case svc.Kind == config.KindPlain && svc.Role == "":
		fault("a plain service needs a role")
	case svc.Kind != config.KindModel && svc.Kind != config.KindPlain:
		fault(fmt.Sprintf("kind is %q, not model or plain", k.Kind))
	}
	if k.Priority < 0 {
		fault("priority is negative")
	}
	return svc, faults
}

func parseWorkspace(sec *settings.Section, name string) (config.Workspace, settings.Faults) {
	k := workspaceKeys{Weight: 1}
	faults := sec.Decode(&k)
	if len(k.KeyHashes) == 0 {
		faults = append(faults, settings.Fault{File: sec.File, Line: sec.Line, Message: "a workspace needs key_hashes"})
	}
	if k.Weight < 1 {
		faults = append(faults, settings.Fault{File: sec.File, Line: sec.Line, Message: "weight is below 1"})
	}
	return config.Workspace{Name: name, Weight: k.Weight, KeyHashes: k.KeyHashes, Services: k.Services, MaxConcurrent: k.MaxConcurrent}, faults
}
