package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// maxListedInstances bounds the number of listed instances, in case the cloud's list does not end.
const maxListedInstances = 100_000

// noCapacityError is the cloud's error text for a provision request when it has no machines left.
const noCapacityError = "no capacity"

// callCloud sends a request to the cloud and returns the body of the response. A response with a
// status other than 200 is an error. A nil payload sends no body.
func (d *daemon) callCloud(method, target string, payload any) ([]byte, error) {
	var body []byte
	if payload != nil {
		body = protocol.Encode(payload)
	}
	response, err := d.cloud.Call(method, target, body, cloudTimeout)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	if response.Status != http.StatusOK {
		return nil, fmt.Errorf("%s %s: cloud answered %d", method, target, response.Status)
	}
	return response.Body, nil
}

// listMachineTypes returns the cloud's machine types.
func (d *daemon) listMachineTypes() ([]protocol.MachineType, error) {
	body, err := d.callCloud(http.MethodGet, protocol.PathMachineTypes, nil)
	if err != nil {
		return nil, err
	}
	machineTypes, err := protocol.ParseMachineTypes(body)
	if err != nil {
		return machineTypes, fmt.Errorf("parse machine types: %w", err)
	}
	return machineTypes, nil
}

// terminateMachines requests the termination of machines from the cloud.
func (d *daemon) terminateMachines(machines []protocol.MachineID) error {
	_, err := d.callCloud(http.MethodPost, protocol.PathTerminate, protocol.MachineList{Machines: machines})
	return err
}

// provisionMachines requests machines from the cloud. The result distinguishes three failures for
// the core: the cloud has no machines, the cloud refuses the request, or it is unknown whether the
// cloud carried the request out.
func (d *daemon) provisionMachines(request protocol.ProvisionRequest) step.ProvisionMachinesResult {
	result := step.ProvisionMachinesResult{Request: request}
	response, err := d.cloud.Call(http.MethodPost, protocol.PathInstances, protocol.Encode(request), cloudTimeout)
	if err != nil {
		result.Err = fmt.Errorf("POST %s: %w", protocol.PathInstances, err)
		return result
	}
	switch response.Status {
	case http.StatusOK:
		result.Machines, result.Err = parseGrantedMachines(response.Body)
	case http.StatusBadRequest:
		result.Invalid = true
	case http.StatusServiceUnavailable:
		var failure struct{ Error string }
		if json.Unmarshal(response.Body, &failure) == nil && failure.Error == noCapacityError {
			result.NoCapacity = true
			break
		}
		result.Err = fmt.Errorf("POST %s: cloud answered %d %s", protocol.PathInstances, response.Status, failure.Error)
	default:
		result.Err = fmt.Errorf("POST %s: cloud answered %d", protocol.PathInstances, response.Status)
	}
	return result
}

// parseGrantedMachines returns the IDs of the machines in the response to a provision request.
func parseGrantedMachines(body []byte) ([]protocol.MachineID, error) {
	var granted protocol.MachineList
	if err := json.Unmarshal(body, &granted); err != nil {
		return nil, fmt.Errorf("parse granted machines: %w", err)
	}
	for _, id := range granted.Machines {
		if !id.IsValid() {
			return nil, fmt.Errorf("cloud granted a machine with the invalid name %q", id)
		}
	}
	return granted.Machines, nil
}

// listInstances returns the cloud's list of instances, which it reads page by page.
func (d *daemon) listInstances() ([]protocol.Instance, error) {
	var instances []protocol.Instance
	after := protocol.MachineID("")
	for {
		body, err := d.callCloud(http.MethodGet, protocol.ListInstancesPath(after), nil)
		if err != nil {
			return nil, err
		}
		var page protocol.InstancePage
		if err := json.Unmarshal(body, &page); err != nil {
			return nil, fmt.Errorf("parse instances after %q: %w", after, err)
		}
		instances = append(instances, page.Instances...)
		if !page.HasMore || len(page.Instances) == 0 || len(instances) > maxListedInstances {
			return instances, nil
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
}
