// Command tillerarch is one controller of the tillerarch cluster scheduler.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// version is the program's version; the build may set it.
var version = "0.1"

func main() {
	var configFile, propertiesFile string
	root := &cobra.Command{
		Use:           "tillerarch --config FILE",
		Short:         "Cluster scheduler: one controller of a deployment",
		Long:          "tillerarch accepts jobs, rents machines, and decides what runs where.\nAll controllers of a deployment run this program with their own settings file.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if configFile == "" {
				return fmt.Errorf("--config: a settings file is needed (see --help)")
			}
			level, err := parseLogLevel(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return err
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
			s, err := loadSettings(configFile, propertiesFile)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	root.Flags().StringVar(&configFile, "config", "", "settings file of the platform (TOML)")
	root.Flags().StringVar(&propertiesFile, "properties", os.Getenv("TILLERARCH_PROPERTIES"), "operators' own settings (Java-style properties, optional)")
	root.AddCommand(newSharesCommand())
	root.CompletionOptions.DisableDefaultCmd = true
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "tillerarch:", err)
		os.Exit(exitCode(err))
	}
}

func parseLogLevel(s string) (slog.Level, error) {
	switch s {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", s)
}
