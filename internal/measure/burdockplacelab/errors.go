package burdockplacelab

import "github.com/joomcode/errorx"

var (
	errNamespace  = errorx.NewNamespace("placeLab")
	errBadOptions = errNamespace.NewType("badOptions")
)
