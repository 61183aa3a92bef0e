package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// version is the program's version; the build may set it with -ldflags.
var version = "0.1"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "tillerarch:", err)
		os.Exit(exitCode(err))
	}
}

// newRootCommand returns the command `tillerarch`, which runs a controller. The operators' commands
// are its subcommands.
func newRootCommand() *cobra.Command {
	var configFile, propertiesFile string
	root := &cobra.Command{
		Use:   "tillerarch --config FILE",
		Short: "Cluster scheduler: one controller of a deployment",
		Long: "tillerarch accepts jobs, rents machines, and decides what runs where.\n" +
			"All controllers of a deployment run this program with their own settings file.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return runController(command.Context(), configFile, propertiesFile)
		},
	}
	root.Flags().StringVar(&configFile, "config", "", "settings file of the platform (TOML)")
	root.Flags().StringVar(&propertiesFile, "properties", os.Getenv("TILLERARCH_PROPERTIES"),
		"operators' own settings (Java-style properties, optional)")
	root.AddCommand(newSharesCommand())
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

// runController sets up logging, loads the settings and runs a controller until it fails.
func runController(ctx context.Context, configFile, propertiesFile string) error {
	if configFile == "" {
		return errors.New("--config: a settings file is needed (see --help)")
	}
	level, err := parseLogLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	settings, err := loadSettings(configFile, propertiesFile)
	if err != nil {
		return err
	}
	return runDaemon(ctx, settings)
}

// parseLogLevel returns the log level of a name. The empty name means info.
func parseLogLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", name)
}
