Feature: The distribution file runs each role as one process
  A file that lacks a package, or loads it from the build host, fails on a VM. An entry that runs in a
  child process does not get the signals of the VM's supervisor, so it would end without a drain and
  cut off requests. Processes of this project also must not start others.

  Background:
    Given the distribution file

  Scenario: It contains exactly the run-time packages
    Then the file contains exactly these packages
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

  # Paths of the build host or file modes of the checkout in the file would make builds differ.
  Scenario: A build under another umask gives the same bytes
    When the file is built again under umask 077
    Then both files are equal

  Scenario Outline: <command> runs without the packages of the build host
    When the file runs "<command>"
    Then the file exits with status 0 and prints "<printed>"

    Examples:
      | command                     | printed |
      | version                     | 0.1.0   |
      | check examples/lagos/*.toml | 3 valid |
      | check examples/wales/*.toml | 3 valid |

  Scenario: An entry runs in the started process itself
    Given a platform with the example files published, and one entry run from the file
    When the entry is ready
    Then the started process listens on the caller address
    And the started process runs Python with the file
    And the started process has no child process and has had none
    When the started process gets SIGTERM
    Then the started process exits with status 0
