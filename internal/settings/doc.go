// Package settings reads the settings of the entry daemon from flags and environment variables.
//
// The names, descriptions, defaults and limits come from schema/settings.schema.json; the type Settings is generated
// from it. A setting callersListen is the flag --callers-listen and the variable BORAGEHINGE_CALLERS_LISTEN; the flag
// goes first. Settings that hold keys or certificates are read from the environment only, because the flags of a
// process are visible to other users of the host. Load reports all findings together.
package settings
