Feature: The distribution file runs each role as one process
  A file that lacks a package, or takes it from the machine that built it, fails on a VM. A file that
  starts its work in another process loses the signals of the VM's supervisor, so a drain would cut
  off requests; and processes of this project start no others.

  Background:
    Given the distribution file

  Scenario: It holds the run-time packages and nothing else
    Then the file holds exactly these packages
      | package           |
      | aioprometheus     |
      | annotated_doc     |
      | cbor2             |
      | curio             |
      | h11               |
      | kingcupusher      |
      | logbook           |
      | markdown_it       |
      | mdurl             |
      | msgspec           |
      | orjson            |
      | pygments          |
      | quantile          |
      | rich              |
      | shellingham       |
      | typer             |
      | typing_extensions |
      | websockets        |

  # A path of the building machine or the mode of a file in the checkout would make builds differ.
  Scenario: Building again under another umask gives the same bytes
    When the file is built again under umask 077
    Then both files are equal

  Scenario Outline: <command> runs without the packages of this machine
    When the file runs "<command>"
    Then the run ends with code 0 and prints "<printed>"

    Examples:
      | command                     | printed |
      | version                     | 0.1.0   |
      | check examples/lagos/*.toml | 3 valid |
      | check examples/wales/*.toml | 3 valid |

  Scenario: An entry is the process that was started
    Given a platform, and published example files and one entry from the file
    When the entry is ready
    Then the started process listens on the caller address
    And the started process runs Python with the file
    And the started process has no child process and has had none
    When the started process gets SIGTERM
    Then it ends with status 0
