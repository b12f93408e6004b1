package daemon

import (
	// Modules register themselves with the kernel, and drivers with package store, when they are imported.
	_ "github.com/rattanhitch/rattanhitch/pkg/admin"
	_ "github.com/rattanhitch/rattanhitch/pkg/command"
	_ "github.com/rattanhitch/rattanhitch/pkg/config"
	_ "github.com/rattanhitch/rattanhitch/pkg/frontend"
	_ "github.com/rattanhitch/rattanhitch/pkg/membership"
	_ "github.com/rattanhitch/rattanhitch/pkg/overload"
	_ "github.com/rattanhitch/rattanhitch/pkg/peer"
	_ "github.com/rattanhitch/rattanhitch/pkg/permit"
	_ "github.com/rattanhitch/rattanhitch/pkg/store"
	_ "github.com/rattanhitch/rattanhitch/pkg/store/httpkv"
	_ "github.com/rattanhitch/rattanhitch/pkg/telemetry"
)
