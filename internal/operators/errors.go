package operators

import "errors"

// ErrUnknownDataCentre means that the configuration in force has no such data centre.
var ErrUnknownDataCentre = errors.New("the configuration in force has no such data centre")
