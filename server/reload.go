package server

import (
	"reflect"
	"strings"
	"time"

	"monsoonswitch/configurer"
	"monsoonswitch/descriptor"
	"monsoonswitch/logger"
)

// Reload puts changed settings in force: the seeds, the log's level and limits, the grace
// time, the bounds of retries and the settings of customers. It logs the sections with other
// changes, which need a restart. The settings must have been checked.
func (s *Server) Reload(settings configurer.Settings) {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	pending := s.settings
	pending.Inner.Seeds = settings.Inner.Seeds
	pending.Log.Level = settings.Log.Level
	pending.Log.Notable, pending.Log.Sampled = settings.Log.Notable, settings.Log.Sampled
	pending.Limits.Grace = settings.Limits.Grace
	pending.Retries = settings.Retries
	pending.Customers = settings.Customers
	s.settings = pending
	s.linker.SetSeeds(settings.Inner.Seeds)
	s.controller.Post(descriptor.SettingsChanged{
		At:          time.Now(),
		Grace:       settings.Limits.Grace,
		RetryRatio:  settings.Retries.Ratio,
		RetryExtra:  settings.Retries.Extra,
		RetryWindow: settings.Retries.Window,
		Withdraw:    settings.Customers.ProofAge(),
	})
	limits := logger.RequestLimits{Notable: settings.Log.Notable, Sampled: settings.Log.Sampled}
	if err := s.log.SetLimits(settings.Log.Level, limits); err != nil {
		s.log.Event(descriptor.NoteReloadFailed, "", s.self.ID, err.Error())
	}
	detail := ""
	if sections := changedSections(pending, settings); len(sections) > 0 {
		detail = "a restart is needed for " + strings.Join(sections, ", ")
	}
	s.log.Event(descriptor.NoteReloaded, "", s.self.ID, detail)
}

// changedSections lists the sections in which two settings differ.
func changedSections(a, b configurer.Settings) []string {
	var sections []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			sections = append(sections, "["+strings.ToLower(x.Type().Field(i).Name)+"]")
		}
	}
	return sections
}
