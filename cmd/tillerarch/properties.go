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

// maxPropertyNumber is the maximum of properties that are numbers without a unit.
const maxPropertyNumber = 100

// operatorSettings holds the settings that an operator may change in the properties file.
type operatorSettings struct {
	step.Tuning
	adminListen string // address of the admin service; empty if there is none
}

// propertySetter parses the value of a property and stores it in a setting.
type propertySetter func(value string) error

// loadProperties reads a properties file and replaces the settings that it names. An unknown
// property or an invalid value is an error that names the property.
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

// propertySetters returns the setters of all properties by key.
func (o *operatorSettings) propertySetters() map[string]propertySetter {
	return map[string]propertySetter{
		"admin.listen": loopbackAddressSetter(&o.adminListen),

		"hold.ttl":       positiveDurationSetter(&o.LeaseTTL),
		"flush.gap":      positiveDurationSetter(&o.MinCommitInterval),
		"beat.hold":      positiveDurationSetter(&o.MaxResponseDelay),
		"idle.hold":      positiveDurationSetter(&o.MaxIdleResponseDelay),
		"user.wait":      positiveDurationSetter(&o.UserRequestTimeout),
		"paid.minimum":   positiveDurationSetter(&o.MinMachineAge),
		"boot.extra":     positiveDurationSetter(&o.BootTimeoutMargin),
		"silent.return":  positiveDurationSetter(&o.SilentScaleInDelay),
		"spot.window":    positiveDurationSetter(&o.SpotPriceWindow),
		"spot.period":    positiveDurationSetter(&o.SpotPeriod),
		"spot.margin":    nonNegativeDurationSetter(&o.SpotPeriodEndMargin),
		"spot.check":     positiveDurationSetter(&o.PriceCheckInterval),
		"capacity.pause": positiveDurationSetter(&o.NoCapacityBackoff),
		"list.every":     positiveDurationSetter(&o.InstanceListInterval),
		"list.silent":    positiveDurationSetter(&o.SilentInstanceListInterval),
		"age.after":      positiveDurationSetter(&o.AgingThreshold),
		"balance.gap":    positiveDurationSetter(&o.MinRebalanceInterval),

		"write.share": positiveNumberSetter(&o.WriteBudgetShare),
		"boot.factor": positiveNumberSetter(&o.BootTimeoutFactor),
		"spot.loss":   positiveNumberSetter(&o.SpotPreemptionsPerHour),
		"idle.factor": positiveNumberSetter(&o.IdleTimeoutFactor),

		"moves.by-demand": fractionSetter(&o.RebalanceDemandWeight),
		"moves.recorded":  boolSetter(&o.RecordTransfers),

		"spot.cap": countSetter(&o.MaxSpotMachines),
		"hire.cap": countSetter(&o.MaxProvisionCount),
	}
}

// positiveDurationSetter returns a setter that accepts a duration above zero.
func positiveDurationSetter(target *time.Duration) propertySetter {
	return func(value string) (err error) {
		if *target, err = time.ParseDuration(value); err == nil && *target <= 0 {
			err = fmt.Errorf("%q is not above zero", value)
		}
		return err
	}
}

// nonNegativeDurationSetter returns a setter that accepts a duration of zero or more.
func nonNegativeDurationSetter(target *time.Duration) propertySetter {
	return func(value string) (err error) {
		if *target, err = time.ParseDuration(value); err == nil && *target < 0 {
			err = fmt.Errorf("%q is below zero", value)
		}
		return err
	}
}

// positiveNumberSetter returns a setter that accepts a number above zero, up to maxPropertyNumber.
func positiveNumberSetter(target *float64) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.ParseFloat(value, 64); err == nil && !(*target > 0 && *target <= maxPropertyNumber) {
			err = fmt.Errorf("%q is not above 0 and at most %d", value, maxPropertyNumber)
		}
		return err
	}
}

// fractionSetter returns a setter that accepts a number from zero to one.
func fractionSetter(target *float64) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.ParseFloat(value, 64); err == nil && !(*target >= 0 && *target <= 1) {
			err = fmt.Errorf("%q is not between 0 and 1", value)
		}
		return err
	}
}

// boolSetter returns a setter that accepts the boolean values of strconv.ParseBool.
func boolSetter(target *bool) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.ParseBool(value); err != nil {
			return fmt.Errorf("%q is neither true nor false", value)
		}
		return nil
	}
}

// countSetter returns a setter that accepts an integer of zero or more.
func countSetter(target *int) propertySetter {
	return func(value string) (err error) {
		if *target, err = strconv.Atoi(value); err == nil && *target < 0 {
			err = fmt.Errorf("%q is below zero", value)
		}
		return err
	}
}

// loopbackAddressSetter returns a setter that accepts an address on the loopback interface.
func loopbackAddressSetter(target *string) propertySetter {
	return func(value string) error {
		*target = value
		return validateLoopback(value)
	}
}

// validateLoopback returns an error if users of other machines could reach an address, because the
// admin service does not authenticate its users.
func validateLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an address of the form IP:PORT", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is not a loopback address", address)
	}
	return nil
}
