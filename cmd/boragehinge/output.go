package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/operators"
)

const (
	defaultOperators = "127.0.0.1:7003"
	operatorsVar     = "BORAGEHINGE_OPERATORS"
	platformVar      = "BORAGEHINGE_PLATFORM_URL"
	operatorVar      = "BORAGEHINGE_OPERATOR"
)

// outputFlag is the flag -o.
type outputFlag string

func (o *outputFlag) register(c *cobra.Command) {
	*o = "text"
	c.Flags().VarP(o, "output", "o", "output format: text or json")
}

// Set implements pflag.Value.
func (o *outputFlag) Set(value string) error {
	if value != "text" && value != "json" {
		return fmt.Errorf("-o must be text or json, but is %q", value)
	}
	*o = outputFlag(value)
	return nil
}

// String implements pflag.Value.
func (o *outputFlag) String() string { return string(*o) }

// Type implements pflag.Value.
func (o *outputFlag) Type() string { return "format" }

type textWriter interface{ WriteText(w io.Writer) error }

// print writes v in the format of the flag.
func (o *outputFlag) print(w io.Writer, v textWriter) error {
	if *o == "json" {
		return printJSON(w, v)
	}
	return v.WriteText(w)
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// operatorsFlag is the flag --operators.
type operatorsFlag struct{ addresses []string }

func (f *operatorsFlag) register(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.addresses, "operators", fromEnvironment(operatorsVar, defaultOperators),
		"addresses of operators' ports, tried in order; also "+operatorsVar)
}

func (f *operatorsFlag) client() *operators.Client { return &operators.Client{Addresses: f.addresses} }

func fromEnvironment(variable, fallback string) []string {
	value := os.Getenv(variable)
	if value == "" {
		value = fallback
	}
	return strings.Split(value, ",")
}

func registerPlatform(c *cobra.Command, target *string) {
	c.Flags().StringVar(target, "platform-url", os.Getenv(platformVar), "base URL of the platform's log; also "+platformVar)
}

func registerOperator(c *cobra.Command, target *string) {
	c.Flags().StringVar(target, "operator", operatorName(), "name that the log and the status show; also "+operatorVar)
}

// operatorName returns the default of --operator.
func operatorName() string {
	if name := os.Getenv(operatorVar); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}
