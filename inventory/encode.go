package inventory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"boragehinge.example/boragehinge/internal/model"
)

// ErrSchemaVersion is returned for an encoded inventory of a schema version that this program does not read.
var ErrSchemaVersion = errors.New("unknown schema version of the inventory")

// EncodeJSON encodes an inventory for a log record. Equal inventories have equal encodings.
func EncodeJSON(inv *model.Inventory) ([]byte, error) {
	data, err := json.Marshal(inv)
	if err != nil {
		return nil, fmt.Errorf("encode inventory: %w", err)
	}
	return data, nil
}

// DecodeJSON decodes what EncodeJSON returned. It refuses unknown fields, because an entry that ignored a field would
// apply another configuration than its peers.
func DecodeJSON(data []byte) (*model.Inventory, error) {
	var head struct {
		SchemaVersion int `json:"schemaVersion"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, fmt.Errorf("decode inventory: %w", err)
	}
	if head.SchemaVersion != SchemaVersion {
		return nil, fmt.Errorf("decode inventory: %w: %d", ErrSchemaVersion, head.SchemaVersion)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	inv := &model.Inventory{}
	if err := d.Decode(inv); err != nil {
		return nil, fmt.Errorf("decode inventory: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode inventory: data after the end of the record")
	}
	return inv, nil
}
