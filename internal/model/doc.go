// Package model holds the types of the inventory and the rules, generated from schema/inventory.schema.json.
//
// The types carry no behaviour. Package inventory parses, validates and indexes them.
package model
