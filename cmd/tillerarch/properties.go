package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/magiconair/properties"

	"tillerarch/internal/coordination/step"
)

// maxNumberProperty bounds properties that are plain numbers.
const maxNumberProperty = 100

// operatorSettings are those that an operator may set in the properties file.
type operatorSettings struct {
	step.Tuning
	adminListen string
}

// propertySetter reads the value of a property.
type propertySetter func(value string) error

// loadProperties reads the operators' own settings over the defaults.
func (o *operatorSettings) loadProperties(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	loaded, err := loader.LoadBytes(text)
	if err != nil {
		return err
	}
	setters := o.propertySetters()
	for _, key := range loaded.Keys() {
		set := setters[key]
		if set == nil {
			return fmt.Errorf("%s: no such setting", key)
		}
		value, _ := loaded.Get(key)
		if err := set(value); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// propertySetters are the properties by their keys.
func (o *operatorSettings) propertySetters() map[string]propertySetter {
	return map[string]propertySetter{
		"admin.listen": loopbackAddress(&o.adminListen),

		"hold.ttl":       positiveDuration(&o.LeaseTTL),
		"flush.gap":      positiveDuration(&o.MinCommitInterval),
		"beat.hold":      positiveDuration(&o.MaxResponseDelay),
		"idle.hold":      positiveDuration(&o.MaxIdleResponseDelay),
		"user.wait":      positiveDuration(&o.UserRequestTimeout),
		"paid.minimum":   positiveDuration(&o.MinMachineAge),
		"boot.extra":     positiveDuration(&o.BootTimeoutMargin),
		"silent.return":  positiveDuration(&o.SilentScaleInDelay),
		"spot.window":    positiveDuration(&o.SpotPriceWindow),
		"spot.period":    positiveDuration(&o.SpotPeriod),
		"spot.margin":    durationOrZero(&o.SpotPeriodEndMargin),
		"spot.check":     positiveDuration(&o.PriceCheckInterval),
		"capacity.pause": positiveDuration(&o.NoCapacityBackoff),
		"list.every":     positiveDuration(&o.InstanceListInterval),
		"list.silent":    positiveDuration(&o.SilentInstanceListInterval),
		"age.after":      positiveDuration(&o.AgingThreshold),
		"balance.gap":    positiveDuration(&o.MinRebalanceInterval),

		"write.share": positiveNumber(&o.WriteBudgetShare),
		"boot.factor": positiveNumber(&o.BootTimeoutFactor),
		"spot.loss":   positiveNumber(&o.SpotPreemptionsPerHour),
		"idle.factor": positiveNumber(&o.IdleTimeoutFactor),

		"moves.by-demand": fraction(&o.RebalanceDemandWeight),
		"moves.recorded":  toggle(&o.RecordTransfers),

		"spot.cap": count(&o.MaxSpotMachines),
		"hire.cap": count(&o.MaxProvisionCount),
	}
}

// positiveDuration reads a duration above zero.
func positiveDuration(target *time.Duration) propertySetter {
	return func(value string) (err error) {
		if *target, err = time.ParseDuration(value); err == nil && *target <= 0 {
			err = fmt.Errorf("%q is not above zero", value)
		}
		return err
	}
}

// durationOrZero reads a duration that may be zero.
func durationOrZero(target *time.Duration) propertySetter {
	return func(value string) (err error) {
		if *target, err = time.ParseDuration(value); err == nil && *target < 0 {
			err = fmt.Errorf("%q is not above zero", value)
		}
		return err
	}
}

// positiveNumber reads a number above zero.
func positiveNumber(target *float64) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.ParseFloat(value, 64); err == nil && !(*target > 0 && *target <= maxNumberProperty) {
			err = fmt.Errorf("%q is not within 0 to %d", value, maxNumberProperty)
		}
		return err
	}
}

// fraction reads a number from zero to one.
func fraction(target *float64) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.ParseFloat(value, 64); err == nil && !(*target >= 0 && *target <= 1) {
			err = fmt.Errorf("%q is not within 0 to 1", value)
		}
		return err
	}
}

// toggle reads true or false.
func toggle(target *bool) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.ParseBool(value); err != nil {
			return fmt.Errorf("%q is neither true nor false", value)
		}
		return nil
	}
}

// count reads a whole number from zero.
func count(target *int) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.Atoi(value); err == nil && *target < 0 {
			err = fmt.Errorf("%q is below zero", value)
		}
		return err
	}
}

// loopbackAddress reads an address that only this machine's users can reach.
func loopbackAddress(target *string) propertySetter {
	return func(value string) error {
		*target = value
		return validateLoopback(value)
	}
}

// validateLoopback refuses an address that others than this machine's users could reach: the
// admin service does not authenticate its users.
func validateLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no address of the form IP:PORT", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", address)
	}
	return nil
}
