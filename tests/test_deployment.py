"""Addresses of local deployments."""

import unittest
from unittest.mock import patch

from parameterized import parameterized

from ibisjunction.bench import deployment


def _choose_ports(*addresses):
    """Let the random choice return the ports of these addresses in turn."""
    ports = [int(address.rpartition(':')[2]) for address in addresses]
    return patch.object(deployment.secrets, 'choice', side_effect=ports)


class AddressTest(unittest.TestCase):
    """Guards against two processes that are told to listen on one port."""

    @parameterized.expand([(2,), (5,)])
    def test_vms_do_not_share_an_address(self, count):
        free = deployment.find_addresses(count * 3)
        # Each VM's ports are drawn twice before another is.
        drawn = [
            address
            for first in range(0, len(free), 3)
            for address in free[: first + 3]
        ]
        with _choose_ports(*drawn):
            vms = deployment.choose_vms(count)
        used = {one for vm in vms for one in (vm.http, vm.admin, vm.peer)}
        self.assertEqual(used, set(free))

    def test_address_of_a_process_that_does_not_listen_yet_is_left_out(self):
        taken, free = deployment.find_addresses(2)
        with _choose_ports(taken, free):
            found = deployment.find_addresses(1, {taken})
        self.assertEqual(found, [free])


if __name__ == '__main__':
    unittest.main()
