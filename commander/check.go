package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"monsoonswitch/configurer"
	"monsoonswitch/declarer"
)

// checkCommand validates settings and declarations without running anything.
type checkCommand struct{ files []string }

func (c *checkCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("check", "Check settings and declarations without running anything.")
	clause.Arg("file", "Settings or declaration files, or directories of declarations.").Required().StringsVar(&c.files)
	return clause
}

func (c *checkCommand) run(_ context.Context, out, log io.Writer) error {
	var first error
	for _, f := range c.files {
		kind, err := checkFile(f)
		if err != nil {
			fmt.Fprintf(log, "%v\n", err)
			if first == nil {
				first = err
			}
			continue
		}
		fmt.Fprintf(out, "%s: %s are fine\n", f, kind)
	}
	return first
}

// checkFile validates one file or directory and returns whether it holds settings or
// declarations.
func checkFile(path string) (string, error) {
	settings, err := isSettings(path)
	if err != nil {
		return "", err
	}
	if settings {
		_, err := configurer.Load(path)
		return "settings", err
	}
	_, err = declarer.LoadAll(path)
	return "declarations", err
}

// isSettings reports whether a file holds settings. A directory, or a file with a
// service section, holds declarations.
func isSettings(path string) (bool, error) {
	info, err := os.Stat(path)
	if err != nil {
		return false, eris.Wrapf(configurer.ErrInvalid, "%v", err)
	}
	if info.IsDir() {
		return false, nil
	}
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", AllowNonUniqueSections: true}, path)
	if err != nil {
		return false, eris.Wrapf(configurer.ErrInvalid, "%s: %v", path, err)
	}
	return !f.HasSection("service"), nil
}
