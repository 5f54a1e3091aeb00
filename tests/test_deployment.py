"""Tests of the choice of addresses for local deployments."""

import ipaddress
import unittest
from unittest.mock import patch

from parameterized import parameterized

from ibisjunction.bench import deployment


def _patch_port_choice(*addresses):
    """Make the random choice return the ports of these addresses in turn."""
    ports = [int(address.rpartition(':')[2]) for address in addresses]
    return patch.object(deployment.secrets, 'choice', side_effect=ports)


class AddressTest(unittest.TestCase):
    """Guards against two processes that are given the same port."""

    @parameterized.expand([(2,), (5,)])
    def test_vms_do_not_share_an_address(self, count):
        free = deployment.find_addresses(count * 3)
        # The ports of earlier VMs are drawn again before those of the next VM.
        drawn = [
            address
            for first in range(0, len(free), 3)
            for address in free[: first + 3]
        ]
        with _patch_port_choice(*drawn):
            vms = deployment.choose_vms(count)
        used = {
            address for vm in vms for address in (vm.http, vm.admin, vm.peer)
        }
        self.assertEqual(used, set(free))

    def test_taken_address_is_left_out(self):
        """A process that is to use the address may not listen on it yet."""
        taken, free = deployment.find_addresses(2)
        with _patch_port_choice(taken, free):
            found = deployment.find_addresses(1, {taken})
        self.assertEqual(found, [free])

    @parameterized.expand([('neighbours', 1, 2), ('far', 77, 2**22)])
    def test_processes_do_not_share_a_host(self, _name, pid, other_pid):
        """Two deployments that started together chose the same port."""
        hosts = set()
        for process_id in (pid, other_pid):
            with patch.object(deployment.os, 'getpid', return_value=process_id):
                hosts.add(deployment.find_own_host())
        self.assertEqual(len(hosts), 2)
        for host in hosts:
            self.assertTrue(ipaddress.ip_address(host).is_loopback)


if __name__ == '__main__':
    unittest.main()
